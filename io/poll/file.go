package poll

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// File is a Source that reads two local files. A tag is a hash of the file's contents. It
// is safe for concurrent use.
type File struct {
	configurationFile string
	instancesFile     string
	interval          time.Duration
}

var _ Source = (*File)(nil)

// NewFile returns a Source of the values in the given files. While a call waits it reads
// its file at the given interval. A wait has no limit other than its context.
func NewFile(configuration, instances string, interval time.Duration) *File {
	return &File{configurationFile: configuration, instancesFile: instances, interval: interval}
}

// Configuration implements Source.
func (f *File) Configuration(ctx context.Context, tag string) (Value, error) {
	return f.wait(ctx, f.configurationFile, tag)
}

// Instances implements Source.
func (f *File) Instances(ctx context.Context, tag string) (Value, error) {
	return f.wait(ctx, f.instancesFile, tag)
}

// wait reads the file until its tag differs from the given one.
func (f *File) wait(ctx context.Context, file, tag string) (Value, error) {
	t := time.NewTicker(f.interval)
	defer t.Stop()
	for {
		b, err := os.ReadFile(file)
		if err != nil {
			return Value{}, fmt.Errorf("platform file: %w", err)
		}
		// A file that is being rewritten is empty for a moment, which is not a change.
		written := len(b) > 0 || tag == ""
		if g := strconv.FormatUint(xxhash.Sum64(b), 16); g != tag && written {
			return Value{Body: b, Tag: g}, nil
		}
		select {
		case <-ctx.Done():
			return Value{}, fmt.Errorf("platform file: %w", ctx.Err())
		case <-t.C:
		}
	}
}
