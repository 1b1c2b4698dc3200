package conf

import (
	"bytes"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
)

// jsonValue is a JSON value with the byte offset at which it starts.
type jsonValue struct {
	offset   int
	kind     jsontext.Kind
	text     string // content of a string, or the literal of a number
	fields   []field
	elements []jsonValue
}

// field is a key of a JSON object and its value.
type field struct {
	key    string
	offset int
	value  jsonValue
}

// syntaxError is an error in JSON text at a byte offset.
type syntaxError struct {
	offset  int
	message string
}

func (e *syntaxError) Error() string { return e.message }

// jsonReader parses JSON text into a jsonValue.
type jsonReader struct {
	text    []byte
	decoder *jsontext.Decoder
}

// parseJSON parses text that consists of exactly one JSON value.
func parseJSON(text []byte) (jsonValue, error) {
	// Duplicate names are reported later, by decoder.uniqueFields, with their position.
	options := jsontext.AllowDuplicateNames(true)
	r := &jsonReader{text: text, decoder: jsontext.NewDecoder(bytes.NewBuffer(text), options)}
	root, err := r.readValue()
	if err != nil {
		return jsonValue{}, err
	}
	if _, err := r.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return jsonValue{}, &syntaxError{r.nextTokenOffset(), "unexpected text after the JSON value"}
	}
	return root, nil
}

// nextTokenOffset returns the byte offset of the next token.
func (r *jsonReader) nextTokenOffset() int {
	offset := int(r.decoder.InputOffset())
	for offset < len(r.text) && bytes.IndexByte([]byte(" \t\r\n,:"), r.text[offset]) >= 0 {
		offset++
	}
	return offset
}

func (r *jsonReader) readToken() (jsontext.Token, error) {
	offset := r.nextTokenOffset()
	token, err := r.decoder.ReadToken()
	if err == nil {
		return token, nil
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return token, &syntaxError{len(r.text), "unexpected end of JSON text"}
	}
	var syntacticErr *jsontext.SyntacticError
	if errors.As(err, &syntacticErr) {
		return token, &syntaxError{max(offset, int(syntacticErr.ByteOffset)), fmt.Sprintf("invalid JSON: %v", syntacticErr.Err)}
	}
	return token, &syntaxError{offset, fmt.Sprintf("invalid JSON: %v", err)}
}

func (r *jsonReader) readValue() (jsonValue, error) {
	start := r.nextTokenOffset()
	token, err := r.readToken()
	if err != nil {
		return jsonValue{}, err
	}
	out := jsonValue{offset: start, kind: token.Kind()}
	switch out.kind {
	case '{':
		err = r.readObject(&out)
	case '[':
		err = r.readArray(&out)
	case '"', '0':
		out.text = token.String()
	}
	return out, err
}

func (r *jsonReader) readObject(object *jsonValue) error {
	for r.decoder.PeekKind() == '"' {
		offset := r.nextTokenOffset()
		key, err := r.readToken()
		if err != nil {
			return err
		}
		name := key.String()
		value, err := r.readValue()
		if err != nil {
			return err
		}
		object.fields = append(object.fields, field{name, offset, value})
	}
	_, err := r.readToken()
	return err
}

func (r *jsonReader) readArray(array *jsonValue) error {
	for kind := r.decoder.PeekKind(); kind != ']'; kind = r.decoder.PeekKind() {
		value, err := r.readValue()
		if err != nil {
			return err
		}
		array.elements = append(array.elements, value)
	}
	_, err := r.readToken()
	return err
}
