package keyed

import (
	"iter"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Map is an immutable map sorted by key; its zero value is an empty map.
type Map[K ~string, V any] struct {
	tree *immutable.SortedMap[K, *V]
}

type comparer[K ~string] struct{}

// Compare orders keys as strings.
func (comparer[K]) Compare(a, b K) int { return strings.Compare(string(a), string(b)) }

// Get returns the value of a key and whether the map contains it.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.tree != nil {
		if v, ok := m.tree.Get(key); ok {
			return *v, true
		}
	}
	var zero V
	return zero, false
}

// Has reports whether the map contains a key.
func (m Map[K, V]) Has(key K) bool {
	_, ok := m.Get(key)
	return ok
}

// With returns a copy of the map with the value of a key set.
func (m Map[K, V]) With(key K, value V) Map[K, V] {
	if m.tree == nil {
		m.tree = immutable.NewSortedMap[K, *V](comparer[K]{})
	}
	return Map[K, V]{tree: m.tree.Set(key, &value)}
}

// Without returns a copy of the map without a key.
func (m Map[K, V]) Without(key K) Map[K, V] {
	if m.tree == nil || m.tree.Len() == 0 {
		return m
	}
	return Map[K, V]{tree: m.tree.Delete(key)}
}

// Len returns the number of keys.
func (m Map[K, V]) Len() int {
	if m.tree == nil {
		return 0
	}
	return m.tree.Len()
}

// All yields all keys with their values, in the order of the keys.
func (m Map[K, V]) All() iter.Seq2[K, V] { return m.From("") }

// From yields the keys that are not below start with their values, in the order of the keys.
func (m Map[K, V]) From(start K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.tree == nil {
			return
		}
		it := m.tree.Iterator()
		it.Seek(start)
		for !it.Done() {
			k, v, _ := it.Next()
			if !yield(k, *v) {
				return
			}
		}
	}
}

// Cleared returns an empty map of the same type.
func (m Map[K, V]) Cleared() Map[K, V] { return Map[K, V]{} }
