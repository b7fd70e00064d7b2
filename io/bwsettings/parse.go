package bwsettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"
)

// maxDepth limits the nesting of a document, so that a malicious document can't
// exhaust the stack; settings and tickets nest 5 levels.
const maxDepth = 32

type nodeKind int

const (
	nullNode nodeKind = iota + 1
	boolNode
	numberNode
	stringNode
	arrayNode
	objectNode
)

// String returns the kind with its article, for error messages.
func (nk nodeKind) String() string {
	names := [...]string{"", "null", "true or false", "a number", "a string", "an array", "an object"}
	return names[nk]
}

// node is a JSON value with its line in the document.
type node struct {
	kind   nodeKind
	line   int
	text   string
	items  []node
	fields []objectField
}

type objectField struct {
	name  string
	line  int
	value node
}

// parser builds the tree of a document.
type parser struct {
	data []byte
	dec  *json.Decoder
	// countedTo is the offset up to which lines are counted.
	countedTo int64
	line      int
}

// parse returns the document's tree, or an error with the line number.
func parse(data []byte) (node, error) {
	if !utf8.Valid(data) {
		return node{}, errors.New("the document is not UTF-8")
	}
	ps := &parser{data: data, dec: json.NewDecoder(bytes.NewReader(data)), line: 1}
	ps.dec.UseNumber()
	nd, err := ps.parseValue(0)
	if err != nil {
		return node{}, ps.addLine(err)
	}
	if _, err := ps.dec.Token(); !errors.Is(err, io.EOF) {
		return node{}, ps.addLine(errors.New("more than one value"))
	}
	return nd, nil
}

// addLine wraps a parse error with the number of the line at which it occurred.
func (ps *parser) addLine(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the document ends early")
	}
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		return fmt.Errorf("line %d: not JSON: %w", ps.lineAt(syn.Offset), err)
	}
	return fmt.Errorf("line %d: not JSON: %w", ps.lineAt(ps.dec.InputOffset()), err)
}

// lineAt returns the line number of an offset. It counts from the previous
// offset, so that a document is scanned once.
func (ps *parser) lineAt(off int64) int {
	off = min(off, int64(len(ps.data)))
	if off > ps.countedTo {
		ps.line += bytes.Count(ps.data[ps.countedTo:off], []byte{'\n'})
		ps.countedTo = off
	}
	return ps.line
}

func (ps *parser) parseValue(depth int) (node, error) {
	if depth > maxDepth {
		return node{}, fmt.Errorf("nested more than %d levels deep", maxDepth)
	}
	tok, err := ps.dec.Token()
	if err != nil {
		return node{}, err
	}
	nd := node{line: ps.lineAt(ps.dec.InputOffset())}
	switch val := tok.(type) {
	case nil:
		nd.kind, nd.text = nullNode, "null"
	case bool:
		nd.kind, nd.text = boolNode, fmt.Sprint(val)
	case json.Number:
		nd.kind, nd.text = numberNode, val.String()
	case string:
		nd.kind, nd.text = stringNode, val
	case json.Delim:
		return ps.parseComposite(nd, val, depth)
	}
	return nd, nil
}

func (ps *parser) parseComposite(nd node, open json.Delim, depth int) (node, error) {
	nd.kind = arrayNode
	if open == '{' {
		nd.kind = objectNode
	}
	for ps.dec.More() {
		if open == '{' {
			fld, err := ps.parseField(depth)
			if err != nil {
				return node{}, err
			}
			nd.fields = append(nd.fields, fld)
			continue
		}
		item, err := ps.parseValue(depth + 1)
		if err != nil {
			return node{}, err
		}
		nd.items = append(nd.items, item)
	}
	_, err := ps.dec.Token()
	return nd, err
}

func (ps *parser) parseField(depth int) (objectField, error) {
	tok, err := ps.dec.Token()
	if err != nil {
		return objectField{}, err
	}
	name, ok := tok.(string)
	if !ok {
		return objectField{}, errors.New("a field's name is not a string")
	}
	line := ps.lineAt(ps.dec.InputOffset())
	val, err := ps.parseValue(depth + 1)
	return objectField{name: name, line: line, value: val}, err
}
