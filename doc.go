// Package ebonywood holds what every other package of the proxy agrees on: the
// interfaces behind which behaviour varies, the messages that cross them, and
// the kinds of error that callers and operators see.
//
// The package has no behaviour of its own beyond comparing and printing its
// values. Implementations live below internal/ and register themselves with the
// kernel (internal/kernel) by name. Fields are unexported everywhere, so that a
// message can't change after it was sent from one goroutine to another.
package ebonywood
