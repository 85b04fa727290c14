package front

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy of h without the hop-by-hop headers.
func endToEnd(h http.Header) http.Header {
	o := h.Clone()
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			o.Del(textproto.TrimString(n))
		}
	}
	for _, n := range hopByHopHeaders {
		o.Del(n)
	}
	return o
}

// responseHeaders returns the end-to-end headers of a response.
func responseHeaders(h http.Header) http.Header { return endToEnd(h) }
