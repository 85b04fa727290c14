package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// RequestOf returns the hash of a whole request: of what its target gets and stays the same when
// a caller sends it again. The body may be in blocks.
func RequestOf(method, host, target, workspace string, body ...[]byte) Part {
	h := xxhash.New()
	for _, s := range []string{method, host, target, workspace} {
		// The length keeps apart fields that are equal when joined.
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s)))) // never fails
		_, _ = h.WriteString(s)
	}
	for _, b := range body {
		_, _ = h.Write(b)
	}
	return Part(h.Sum64())
}
