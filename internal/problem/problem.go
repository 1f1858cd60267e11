// Package problem turns the errors of ogen's request decoders into what a
// problem document says: an HTTP status, the field at fault and the reason.
// The admin API and the announce API share it.
package problem

import (
	"errors"
	"net/http"
	"regexp"
	"strings"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"
)

// ContentType is the media type of problem documents.
const ContentType = "application/problem+json"

// Fault is what is wrong with a request that could not be decoded.
type Fault struct {
	Status int
	// Field is the dotted name of the first field or the parameter at fault,
	// or empty when the request as a whole is.
	Field  string
	Detail string
}

// FromDecoder reports what is wrong when err is from a decoder of ogen's.
func FromDecoder(err error) (Fault, bool) {
	var params *ogenerrors.DecodeParamsError
	var request *ogenerrors.DecodeRequestError
	switch {
	case errors.As(err, &params):
		return paramFault(params.Err), true
	case errors.As(err, &request):
		return bodyFault(request.Err), true
	}
	return Fault{}, false
}

func paramFault(err error) Fault {
	f := Fault{Status: http.StatusBadRequest, Detail: err.Error()}
	var p *ogenerrors.DecodeParamError
	if errors.As(err, &p) {
		f.Field = p.Name
		f.Detail = reason(p.Err)
	}
	return f
}

func bodyFault(err error) Fault {
	var tooLarge *http.MaxBytesError
	var mediaType *validate.InvalidContentTypeError
	var invalid *validate.Error
	switch {
	case errors.As(err, &tooLarge):
		return Fault{Status: http.StatusRequestEntityTooLarge, Detail: tooLarge.Error()}
	case errors.As(err, &mediaType):
		return Fault{Status: http.StatusUnsupportedMediaType, Detail: mediaType.Error()}
	case errors.As(err, &invalid):
		path, why := firstInvalid(invalid)
		path = append(decodedPath(err.Error()), path...)
		return Fault{Status: http.StatusUnprocessableEntity, Field: dotted(path), Detail: why}
	}
	return Fault{
		Status: http.StatusBadRequest,
		Field:  dotted(decodedPath(err.Error())),
		Detail: reason(err),
	}
}

// firstInvalid follows the nested validation errors to the first field.
func firstInvalid(e *validate.Error) (path []string, why string) {
	for len(e.Fields) > 0 {
		f := e.Fields[0]
		path = append(path, f.Name)
		var deeper *validate.Error
		if !errors.As(f.Error, &deeper) {
			return path, reason(f.Error)
		}
		e = deeper
	}
	return path, e.Error()
}

// ogen's decoders name the field in the text of their errors alone.
var decoded = regexp.MustCompile(`(?:decode field|unexpected field) ("(?:[^"\\]|\\.)*")`)

func decodedPath(text string) []string {
	var path []string
	for _, m := range decoded.FindAllStringSubmatch(text, -1) {
		path = append(path, strings.Trim(m[1], `"`))
	}
	return path
}

// dotted joins field names; an index like "[2]" stands without a dot.
func dotted(path []string) string {
	return strings.ReplaceAll(strings.Join(path, "."), ".[", "[")
}

// reason drops what the decoders put before the cause.
func reason(err error) string {
	text := err.Error()
	if at := strings.LastIndex(text, `unexpected field "`); at >= 0 {
		return "unknown field " + strings.TrimPrefix(text[at:], "unexpected field ")
	}
	for _, prefix := range []string{"validate: ", "string: ", "int: ", "float: "} {
		text = strings.TrimPrefix(text, prefix)
	}
	return text
}
