package proxy

import (
	"net/http"
	"net/url"
	"strings"
)

// rawPath returns the path of a received request as it stands in the request line, or "/" if it is
// empty there.
func rawPath(u *url.URL) string {
	switch {
	case u.RawPath != "":
		return u.RawPath
	case u.Path == "":
		return "/"
	}
	return u.EscapedPath() // RawPath is empty only if this is what was received
}

// setOpaque makes out send the path of a received request byte for byte. Without it net/http encodes
// a path with bytes that it would not have left as they are, such as '|' or those beyond ASCII.
func setOpaque(out *url.URL, in *http.Request) {
	if in.URL.RawPath == "" || out.EscapedPath() == in.URL.RawPath {
		return
	}
	out.Opaque = in.URL.RawPath
	if strings.HasPrefix(out.Opaque, "//") {
		// net/http takes what follows two slashes for a host.
		out.Opaque = "//" + in.Host + out.Opaque
	}
}
