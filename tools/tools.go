//go:build tools

// Package tools pins the formatter and the linter in a module of their own, so
// that the product's go.mod stays small.
package tools

import (
	_ "github.com/mgechev/revive"
	_ "mvdan.cc/gofumpt"
)
