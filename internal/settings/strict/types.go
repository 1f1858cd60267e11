package strict

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"
)

// Duration is a time.Duration that settings write as a string like "250ms".
// It's a struct so that the decoder refuses a bare number, which would count
// in nanoseconds.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	d.Duration = v
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// Describer is implemented by settings types that say in words what they
// accept, for example "an address like 10.0.0.1:7400".
type Describer interface{ Allowed() string }

// Allowed implements Describer.
func (Duration) Allowed() string { return `a duration in quotes, like "250ms" or "10s"` }

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// typeAt returns the type of the field that key names below t, or nil.
func typeAt(t reflect.Type, key []string) reflect.Type {
	t = elem(t)
	for _, part := range key {
		if t == nil {
			return nil
		}
		switch t.Kind() {
		case reflect.Map:
			t = elem(t.Elem())
		case reflect.Struct:
			t = fieldNamed(t, part)
		default:
			return nil
		}
	}
	return t
}

// elem strips pointers and lists: a key of a list of tables names no index.
func elem(t reflect.Type) reflect.Type {
	for t != nil && (t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice) {
		t = t.Elem()
	}
	return t
}

// unquoted returns the first key, in order, whose type reads text but whose
// value v isn't a string.
func unquoted(t reflect.Type, v any) (key []string, value any, found bool) {
	t = elem(t)
	if t == nil {
		return nil, nil, false
	}
	switch v := v.(type) {
	case string:
		return nil, nil, false
	case []any:
		for _, item := range v {
			if key, value, found = unquoted(t, item); found {
				return key, value, true
			}
		}
		return nil, nil, false
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			if key, value, found = unquoted(typeAt(t, []string{name}), v[name]); found {
				return append([]string{name}, key...), value, true
			}
		}
		return nil, nil, false
	}
	return nil, v, reflect.PointerTo(t).Implements(textUnmarshaler)
}

func fieldNamed(t reflect.Type, name string) reflect.Type {
	for _, f := range reflect.VisibleFields(t) {
		if strings.EqualFold(tomlName(f), name) {
			return elem(f.Type)
		}
	}
	return nil
}

func tomlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

func keysOf(t reflect.Type) []string {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for _, f := range reflect.VisibleFields(t) {
		if name := tomlName(f); f.IsExported() && !f.Anonymous && name != "-" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// typeName says in words what a field of type t accepts, or "" when the
// decoder's own reason says it better.
func typeName(t reflect.Type) string {
	if t == nil {
		return ""
	}
	if d, ok := reflect.New(t).Interface().(Describer); ok {
		return d.Allowed()
	}
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		return ""
	}
	switch t.Kind() {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Int8, reflect.Int16, reflect.Int32:
		top := int64(1)<<(t.Bits()-1) - 1
		return fmt.Sprintf("a whole number from %d to %d", -top-1, top)
	case reflect.Uint, reflect.Uint64:
		return "a whole number that is not negative"
	case reflect.Uint8, reflect.Uint16, reflect.Uint32:
		return fmt.Sprintf("a whole number from 0 to %d", uint64(1)<<t.Bits()-1)
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "a table"
	}
	return ""
}
