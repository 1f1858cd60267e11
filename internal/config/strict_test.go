package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// byStandard reads a target as releases did that used encoding/json's decoder.
func byStandard(raw []byte) (*Target, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	v := new(Target)
	if err := d.Decode(v); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data after the end")
	}
	return v, nil
}

// Nodes of two releases run side by side while one is rolled out. An object that one reads
// and the other refuses, or reads differently, would be in force on a part of the mesh.
func TestObjectsReadAsInEarlierReleases(t *testing.T) {
	value := rapid.SampledFrom([]string{
		`null`, `""`, `"a"`, `"\u00e9"`, `"\ud800"`, "\"\xff\"", `"a\/b"`, `0`, `-1`, `1.0`, `1.5`, `1e3`, `1e99`,
		`9223372036854775808`, `true`, `[]`, `["GET"]`, `[null]`, `[1]`, `{}`, `{"service":"s","weight":1}`,
		`[{"service":"s","weight":1}]`, `[{"service":"s","other":1}]`, `{"path_prefix":"/a","host":null}`, `01`, `tru`,
	})
	field := rapid.SampledFrom([]string{
		"name", "NAME", "team", "service", "match", "idempotent", "answer_within_ms", "Percentile", "share",
		"priority", "audience", "split", "attempts", "timeout_ms", "other", "", "na-me", "na\u017fe",
	})
	space := rapid.SampledFrom([]string{"", " ", "\n\t", "x"})
	rapid.Check(t, func(t *rapid.T) {
		raw := space.Draw(t, "before") + "{"
		for i := range rapid.IntRange(0, 4).Draw(t, "fields") {
			if i > 0 {
				raw += ","
			}
			raw += `"` + field.Draw(t, "field") + `":` + space.Draw(t, "space") + value.Draw(t, "value")
		}
		raw += rapid.SampledFrom([]string{"}", "}", "}", "", "} {}", "}}"}).Draw(t, "end")
		want, wantErr := byStandard([]byte(raw))
		got := new(Target)
		gotErr := decodeStrict(Object{Raw: []byte(raw)}, got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%q: %v, by encoding/json %v", raw, gotErr, wantErr)
		}
		if wantErr == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: %+v, by encoding/json %+v", raw, got, want)
		}
	})
}
