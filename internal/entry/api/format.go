package api

// completionFormat builds the OpenAI objects of one kind of completion; it is chatFormat or textFormat.
type completionFormat interface {
	idPrefix() string
	objectName() string
	chunkObjectName() string
	// choice returns the only choice of a complete response.
	choice(text, finish string) any
	// delta returns the only choice of a chunk of a stream; finish is nil except in the last chunk.
	delta(text string, first bool, finish *string) any
}

// Usage holds the token counts of a request.
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

// chatFormat is the format of chat completions.
type chatFormat struct{}

func (chatFormat) idPrefix() string        { return "chatcmpl-" }
func (chatFormat) objectName() string      { return "chat.completion" }
func (chatFormat) chunkObjectName() string { return "chat.completion.chunk" }

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

type chatChunkChoice struct {
	Index  int       `json:"index"`
	Delta  chatDelta `json:"delta"`
	Finish *string   `json:"finish_reason"`
}

const roleAssistant = "assistant"

func (chatFormat) choice(text, finish string) any {
	return chatChoice{Message: chatMessage{Role: roleAssistant, Content: text}, Finish: finish}
}

func (chatFormat) delta(text string, first bool, finish *string) any {
	choice := chatChunkChoice{Finish: finish}

	if first {
		choice.Delta.Role = roleAssistant
	}

	if finish == nil {
		choice.Delta.Content = &text
	}

	return choice
}

// textFormat is the format of text completions.
type textFormat struct{}

func (textFormat) idPrefix() string        { return "cmpl-" }
func (textFormat) objectName() string      { return "text_completion" }
func (textFormat) chunkObjectName() string { return "text_completion" }

type textChoice struct {
	Index  int     `json:"index"`
	Text   string  `json:"text"`
	Finish *string `json:"finish_reason"`
}

func (textFormat) choice(text, finish string) any {
	return textChoice{Text: text, Finish: &finish}
}

func (textFormat) delta(text string, _ bool, finish *string) any {
	return textChoice{Text: text, Finish: finish}
}
