// Package ebonywood defines what every other package of the proxy shares: the
// interfaces behind which behaviour varies, the messages that cross them, and the
// kinds of error that callers and operators see.
//
// The package has no behaviour of its own beyond comparing and printing its values.
// Implementations live below internal/ and platform/ and register themselves by
// name (internal/registry); the kernel (internal/kernel) builds and connects them.
// Fields are unexported everywhere, so that a message can't change after it was
// sent from one goroutine to another.
package ebonywood
