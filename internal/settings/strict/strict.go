// Package strict reads TOML settings files and refuses whatever it does not
// know: an unknown key, a value of the wrong type, a value out of range. Every
// refusal is one line that names the file, the key, the value and what is
// allowed.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MaxSize is the size in bytes of the largest settings file that Load reads.
const MaxSize = 1 << 20

// Error is one problem in a settings file.
type Error struct {
	File    string
	Key     string // dotted; empty when the file as a whole is at fault
	Value   string // as written; empty when there is none; Error shows no token
	Allowed string
}

// Error returns the problem as one line.
func (e *Error) Error() string {
	parts := []string{"settings: " + e.File}
	if e.Key != "" {
		parts = append(parts, "key "+e.Key)
	}
	switch {
	case e.Value != "" && isSecret(e.Key):
		parts = append(parts, "value not shown")
	case e.Value != "":
		parts = append(parts, "value "+e.Value)
	}
	return oneLine(strings.Join(append(parts, e.Allowed), ": "))
}

// isSecret reports whether somebody may have written a token as the value of a
// key, where its hash or the name of its file belongs. The line goes to logs.
func isSecret(key string) bool {
	last := key[strings.LastIndexByte(key, '.')+1:]
	return strings.Contains(last, "token") && !strings.HasSuffix(last, "_file")
}

// Problem returns the error for a value that decoded well but isn't allowed.
// The allowed text completes the line, for example "allowed are 1 to 64".
func Problem(file, key string, value any, allowed string) *Error {
	return &Error{File: file, Key: key, Value: show(value), Allowed: allowed}
}

// Load decodes the TOML file at path into the struct that into points to.
// Fields that the file doesn't set keep their values, so callers fill in the
// defaults first. After an error the struct may be half filled.
func Load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Allowed: "cannot be read: " + reason(err)}
	}
	if len(data) > MaxSize {
		return &Error{File: path, Allowed: fmt.Sprintf("has %d bytes; allowed are up to %d", len(data), MaxSize)}
	}
	return Decode(path, data, into)
}

// Decode is Load for data that is already read; file is the name to report.
func Decode(file string, data []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		return unknownKey(file, data, &missing.Errors[0], into)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		return badValue(file, data, bad, into)
	}
	return unlocated(file, data, err, into)
}

// unlocated finds the key that err is about when the decoder doesn't say: it
// does so for a value without quotes whose type reads text.
func unlocated(file string, data []byte, err error, into any) error {
	e := &Error{File: file, Allowed: strings.TrimPrefix(err.Error(), "toml: ")}
	var all map[string]any
	if toml.Unmarshal(data, &all) != nil {
		return e
	}
	key, value, found := unquoted(reflect.TypeOf(into), all)
	if !found {
		return e
	}
	e.Key, e.Value = dotted(key), show(value)
	if name := typeName(typeAt(reflect.TypeOf(into), key)); name != "" {
		e.Allowed = "allowed is " + name
	}
	return e
}

func unknownKey(file string, data []byte, bad *toml.DecodeError, into any) error {
	key := bad.Key()
	row, _ := bad.Position()
	table := typeAt(reflect.TypeOf(into), key[:len(key)-1])
	allowed := "unknown key"
	if names := keysOf(table); len(names) > 0 {
		allowed += "; allowed are " + strings.Join(names, ", ")
	}
	return &Error{File: file, Key: dotted(key), Value: valueAt(data, key, row), Allowed: allowed}
}

func badValue(file string, data []byte, bad *toml.DecodeError, into any) error {
	reason := strings.TrimPrefix(bad.Error(), "toml: ")
	key := bad.Key()
	row, column := bad.Position()
	if len(key) == 0 {
		return &Error{File: file, Allowed: fmt.Sprintf("line %d column %d: %s", row, column, reason)}
	}
	if name := typeName(typeAt(reflect.TypeOf(into), key)); name != "" {
		reason = "allowed is " + name
	}
	return &Error{File: file, Key: dotted(key), Value: valueAt(data, key, row), Allowed: reason}
}

// valueAt returns the value at key as a person would write it, or "" if there
// is none. A key doesn't say which table of a list it's in: there, the text of
// the row has to do.
func valueAt(data []byte, key toml.Key, row int) string {
	var all map[string]any
	if toml.Unmarshal(data, &all) != nil {
		return ""
	}
	var v any = all
	for _, part := range key {
		table, ok := v.(map[string]any)
		if !ok {
			return valueOnRow(data, row)
		}
		v = table[part]
	}
	return show(v)
}

func valueOnRow(data []byte, row int) string {
	lines := strings.Split(string(data), "\n")
	if row < 1 || row > len(lines) {
		return ""
	}
	_, value, _ := strings.Cut(lines[row-1], "=")
	return strings.TrimSpace(value)
}

func show(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return fmt.Sprintf("%q", v)
	case map[string]any:
		return "a table"
	case []any:
		return fmt.Sprintf("%v", v)
	}
	return fmt.Sprint(v)
}

func dotted(key toml.Key) string { return strings.Join(key, ".") }

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// reason drops the operation and the path that os puts before its errors.
func reason(err error) string {
	if e := errors.Unwrap(err); e != nil {
		return e.Error()
	}
	return err.Error()
}
