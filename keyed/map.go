package keyed

import (
	"iter"
	"strings"

	"github.com/benbjohnson/immutable"
)

// Map is an immutable map in the order of its keys, empty as its zero value.
type Map[K ~string, V any] struct {
	tree *immutable.SortedMap[K, *V]
}

type comparer[K ~string] struct{}

// Compare orders keys as strings.
func (comparer[K]) Compare(a, b K) int { return strings.Compare(string(a), string(b)) }

// Get returns the value of a key and whether it is there.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.tree != nil {
		if v, ok := m.tree.Get(key); ok {
			return *v, true
		}
	}
	var none V
	return none, false
}

// Has reports whether the key is there.
func (m Map[K, V]) Has(key K) bool {
	_, ok := m.Get(key)
	return ok
}

// With returns the map with a value set.
func (m Map[K, V]) With(key K, value V) Map[K, V] {
	if m.tree == nil {
		m.tree = immutable.NewSortedMap[K, *V](comparer[K]{})
	}
	return Map[K, V]{tree: m.tree.Set(key, &value)}
}

// Without returns the map without a key.
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

// All yields keys and values in the order of the keys.
func (m Map[K, V]) All() iter.Seq2[K, V] { return m.From("") }

// From yields keys and values in the order of the keys, beginning with the first key not below start.
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

// Cleared returns the empty map.
func (m Map[K, V]) Cleared() Map[K, V] { return Map[K, V]{} }
