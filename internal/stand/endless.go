package stand

import (
	"fmt"
	"strings"
)

// Faults of replicas that send bytes without end, until the connection is closed. All run the
// request.
const (
	// EndlessHeaders sends header lines, EndlessLine a single header line and EndlessInterim
	// interim responses.
	EndlessHeaders Fault = "endless-headers"
	EndlessLine    Fault = "endless-line"
	EndlessInterim Fault = "endless-interim"
	// EndlessGarbage sends bytes that are no HTTP.
	EndlessGarbage Fault = "endless-garbage"
	// EndlessBody sends a body, EndlessError the body of a 500 and EndlessRejection that of a
	// response which says that the request has not run.
	EndlessBody      Fault = "endless-body"
	EndlessError     Fault = "endless-error"
	EndlessRejection Fault = "endless-rejection"
	// EndlessEvent sends an event of a stream, EndlessExtension the extension of a chunk and
	// EndlessTrailer trailers.
	EndlessEvent     Fault = "endless-event"
	EndlessExtension Fault = "endless-extension"
	EndlessTrailer   Fault = "endless-trailer"
)

// endlessBlock is the size in bytes of the blocks that are written.
const endlessBlock = 16 << 10

// endless returns what a replica with the fault sends first, and what it sends again and again.
// Head holds the header lines of a response. It reports false for other faults.
func (f Fault) endless(head string) (first, block string, ok bool) {
	const status = "HTTP/1.1 %s\r\n"
	chunked := func(code string) string {
		return fmt.Sprintf(status, code) + head + "Transfer-Encoding: chunked\r\n\r\n"
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", endlessBlock, strings.Repeat("x", endlessBlock))
	line := "X-Filler: " + strings.Repeat("x", 100) + "\r\n"
	lines := strings.Repeat(line, endlessBlock/len(line))
	long := strings.Repeat("x", endlessBlock)
	switch f {
	case EndlessHeaders:
		return fmt.Sprintf(status, "200 OK") + head, lines, true
	case EndlessLine:
		return fmt.Sprintf(status, "200 OK") + head + "X-Filler: ", long, true
	case EndlessInterim:
		return "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), true
	case EndlessGarbage:
		return "", long, true
	case EndlessBody:
		return chunked("200 OK"), chunk, true
	case EndlessError:
		return chunked("500 Internal Server Error"), chunk, true
	case EndlessRejection:
		return chunked("503 Service Unavailable\r\nNot-Executed: 1"), chunk, true
	case EndlessEvent:
		return chunked("200 OK"), chunk, true
	case EndlessExtension:
		return chunked("200 OK") + "5;x=", long, true
	case EndlessTrailer:
		return chunked("200 OK") + "0\r\n", lines, true
	}
	return "", "", false
}

// sendEndless sends bytes until the connection is closed, and reports false for a fault that
// does not.
func sendEndless(c *pausedConn, f Fault, head string) bool {
	first, block, ok := f.endless(head)
	if !ok {
		return false
	}
	again := []byte(block)
	for b := []byte(first); ; b = again {
		if _, err := c.Write(b); err != nil {
			return true
		}
	}
}
