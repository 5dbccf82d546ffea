// Package boundedlabel bounds the values of a metric's label, since each is a series of its own.
package boundedlabel

import "sync"

// otherLabel stands for all values beyond the limit of Labels.
const otherLabel = "other"

// Labels bounds the number of values of one label, since each is a series of its own: the first
// ones are kept, the others become "other". It is safe for concurrent use.
type Labels struct {
	limit int

	mutex sync.Mutex
	seen  map[string]bool
}

// New returns labels that keep the first values up to the limit.
func New(limit int) *Labels { return &Labels{limit: limit, seen: map[string]bool{}} }

// Label returns the label for a value.
func (labels *Labels) Label(value string) string {
	labels.mutex.Lock()
	defer labels.mutex.Unlock()
	if !labels.seen[value] {
		if len(labels.seen) >= labels.limit {
			return otherLabel
		}
		labels.seen[value] = true
	}
	return value
}
