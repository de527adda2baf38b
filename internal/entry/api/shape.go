package api

// shape builds the OpenAI objects of one kind of completion; it is shapeChat or shapeText.
type shape interface {
	prefix() string
	whole() string
	part() string
	// choice returns the only choice of a whole answer.
	choice(text, finish string) any
	// delta returns the only choice of a part of a stream; finish is nil except in the last part.
	delta(text string, first bool, finish *string) any
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt int64 `json:"prompt_tokens"`
	Output int64 `json:"completion_tokens"`
	Total  int64 `json:"total_tokens"`
}

// Completion is a complete completion or one chunk of a stream.
type Completion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *Usage `json:"usage,omitempty"`
}

type shapeChat struct{}

func (shapeChat) prefix() string { return "chatcmpl-" }
func (shapeChat) whole() string  { return "chat.completion" }
func (shapeChat) part() string   { return "chat.completion.chunk" }

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index   int         `json:"index"`
	Message chatMessage `json:"message"`
	Finish  string      `json:"finish_reason"`
}

type chatDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type chatPart struct {
	Index  int       `json:"index"`
	Delta  chatDelta `json:"delta"`
	Finish *string   `json:"finish_reason"`
}

const roleAssistant = "assistant"

func (shapeChat) choice(text, finish string) any {
	return chatChoice{Message: chatMessage{Role: roleAssistant, Content: text}, Finish: finish}
}

func (shapeChat) delta(text string, first bool, finish *string) any {
	part := chatPart{Finish: finish}

	if first {
		part.Delta.Role = roleAssistant
	}

	if finish == nil {
		part.Delta.Content = &text
	}

	return part
}

type shapeText struct{}

func (shapeText) prefix() string { return "cmpl-" }
func (shapeText) whole() string  { return "text_completion" }
func (shapeText) part() string   { return "text_completion" }

type textChoice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

func (shapeText) choice(text, finish string) any {
	return textChoice{Text: text, Finish: &finish}
}

func (shapeText) delta(text string, _ bool, finish *string) any {
	return textChoice{Text: text, Finish: finish}
}
