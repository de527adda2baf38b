// Package locate finds the lines of fields in YAML files, for errors that are found after decoding.
package locate

import (
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// File is a parsed YAML file.
type File struct {
	root ast.Node
}

// Parse parses a file that was decoded before; a file that cannot be parsed has no fields.
func Parse(data []byte) File {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return File{}
	}

	return File{root: file.Docs[0].Body}
}

// Line follows the steps, which are keys or positions in lists, as deep as the file has them and returns the line.
func (f File) Line(steps ...string) int {
	line := 1
	node := f.root

	for _, step := range steps {
		at, value := child(node, step)
		if at == nil {
			break
		}

		line = at.GetToken().Position.Line
		node = value
	}

	return line
}

// child returns the node whose line is reported, and the node below the step.
func child(node ast.Node, step string) (at, value ast.Node) {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, entry := range n.Values {
			if entry.Key.GetToken().Value == step {
				return entry.Key, entry.Value
			}
		}
	case *ast.SequenceNode:
		position, err := strconv.Atoi(step)
		if err == nil && position >= 0 && position < len(n.Values) {
			return n.Values[position], n.Values[position]
		}
	}

	return nil, nil
}

// Key returns the key and the line of the first value with the given text; false if there is none.
func (f File) Key(text string) (string, int, bool) {
	found := &search{text: text}
	if f.root != nil {
		ast.Walk(found, f.root)
	}

	return found.key, found.line, found.line > 0
}

type search struct {
	text string
	key  string
	line int
}

// Visit implements ast.Visitor.
func (s *search) Visit(node ast.Node) ast.Visitor {
	entry, ok := node.(*ast.MappingValueNode)
	if ok && s.line == 0 && strings.TrimSpace(entry.Value.String()) == s.text {
		s.key = entry.Key.GetToken().Value
		s.line = entry.Value.GetToken().Position.Line
	}

	return s
}
