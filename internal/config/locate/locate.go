// Package locate finds the line numbers of fields in YAML files, for validation errors that occur after decoding.
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

// Parse parses a YAML file. A file that cannot be parsed has no fields, because decoding it reports the error before.
func Parse(data []byte) File {
	file, err := parser.ParseBytes(data, 0)
	if err != nil || len(file.Docs) == 0 {
		return File{}
	}

	return File{root: file.Docs[0].Body}
}

// Line returns the line of the field at a path of keys and list indexes. If the file has only a part of the path, it returns
// the line of the last element that exists; without any, it returns 1.
func (f File) Line(path ...string) int {
	line := 1
	node := f.root

	for _, element := range path {
		at, value := findChild(node, element)
		if at == nil {
			break
		}

		line = at.GetToken().Position.Line
		node = value
	}

	return line
}

// findChild returns the node whose line is reported for a path element, and the node of its value.
func findChild(node ast.Node, element string) (at, value ast.Node) {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, entry := range n.Values {
			if entry.Key.GetToken().Value == element {
				return entry.Key, entry.Value
			}
		}
	case *ast.SequenceNode:
		index, err := strconv.Atoi(element)
		if err == nil && index >= 0 && index < len(n.Values) {
			return n.Values[index], n.Values[index]
		}
	}

	return nil, nil
}

// Key returns the key and the line of the first value with the given text, and false if there is none.
func (f File) Key(text string) (string, int, bool) {
	search := &valueSearch{text: text}
	if f.root != nil {
		ast.Walk(search, f.root)
	}

	return search.key, search.line, search.line > 0
}

// valueSearch is an ast.Visitor that finds the first value with a text; line is 0 until it is found.
type valueSearch struct {
	text string
	key  string
	line int
}

// Visit implements ast.Visitor.
func (s *valueSearch) Visit(node ast.Node) ast.Visitor {
	entry, ok := node.(*ast.MappingValueNode)
	if ok && s.line == 0 && strings.TrimSpace(entry.Value.String()) == s.text {
		s.key = entry.Key.GetToken().Value
		s.line = entry.Value.GetToken().Position.Line
	}

	return s
}
