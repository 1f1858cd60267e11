package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
)

// The collector of traces was down. The library told of it every few seconds by
// lines of plain text among the node's lines of JSON, which the reader of the
// logs could not parse and which no part of the node stood for.
func TestTraceErrorsAreLinesOfTheLog(t *testing.T) {
	var out bytes.Buffer
	LogTraceErrors(zerolog.New(&out))
	otel.Handle(errors.New("traces export: connection refused\nand more"))
	var line struct{ Level, Part, Message, Error string }
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v: %q", err, out.String())
	}
	if line.Level != "warn" || line.Part != "trace" || line.Message != "trace: spans are lost" || line.Error == "" {
		t.Errorf("got %+v", line)
	}
}
