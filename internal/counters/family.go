// Package counters provides counters with a fixed list of attribute sets. Counting is
// one atomic addition; the attribute sets are built once and read on collection.
package counters

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Family is a counter with one value for each attribute set. It is safe for concurrent
// use.
type Family struct {
	// counts holds the values, options the attribute sets; both have the same index.
	counts  []atomic.Int64
	options []metric.ObserveOption
}

// NewFamily returns a family with one attribute. The index of a count is the index of
// the attribute's value in values.
func NewFamily(name string, values []string) *Family {
	f := &Family{counts: make([]atomic.Int64, len(values))}
	for _, value := range values {
		f.options = append(f.options, metric.WithAttributeSet(attribute.NewSet(attribute.String(name, value))))
	}
	return f
}

// NewFamily2 returns a family with two attributes. The index of a count is
// i1*len(values2) + i2, where i1 and i2 are the indexes of the attributes' values.
func NewFamily2(name1 string, values1 []string, name2 string, values2 []string) *Family {
	f := &Family{counts: make([]atomic.Int64, len(values1)*len(values2))}
	for _, v1 := range values1 {
		for _, v2 := range values2 {
			f.options = append(f.options, metric.WithAttributeSet(
				attribute.NewSet(attribute.String(name1, v1), attribute.String(name2, v2))))
		}
	}
	return f
}

// Add adds n to the count at an index. An index out of range, such as a reason that
// only a newer peer knows, counts at index 0.
func (f *Family) Add(i int, n int64) {
	if i < 0 || i >= len(f.counts) {
		i = 0
	}
	f.counts[i].Add(n)
}

// Get returns the count at an index. It panics when the index is out of range.
func (f *Family) Get(i int) int64 { return f.counts[i].Load() }

// Observe implements metric.Int64Callback. It observes the positive counts and always
// returns nil.
func (f *Family) Observe(_ context.Context, o metric.Int64Observer) error {
	for i := range f.counts {
		if n := f.counts[i].Load(); n > 0 {
			o.Observe(n, f.options[i])
		}
	}
	return nil
}
