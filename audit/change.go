package audit

import (
	"fmt"
	"reflect"
	"slices"

	"waxwing.example/croft"
)

// Action is what happened to an entry between two versions.
type Action string

// The actions of changes.
const (
	Added   Action = "Added"
	Removed Action = "Removed"
	Changed Action = "Changed"
)

// Change is one difference between two versions of a configuration.
type Change struct {
	Action Action
	Kind   Kind
	ID     string
	// Field is the field that differs, empty where the whole entry was added or removed.
	Field string
	// Old and New are the values before and after; of an entry, they summarise it.
	Old string
	New string
}

// String returns the change as one line.
func (c Change) String() string {
	entry := subject(c.Kind, c.ID)
	switch c.Action {
	case Added:
		return fmt.Sprintf("added: %s: %s", entry, c.New)
	case Removed:
		return fmt.Sprintf("removed: %s: %s", entry, c.Old)
	}
	return fmt.Sprintf("changed: %s: %s %s -> %s", entry, c.Field, c.Old, c.New)
}

// Diff returns the differences between two versions: the whole first, then queues, pools and organisations. Keys are compared by number only.
func Diff(before, after croft.QueueConfig) []Change {
	changes := diffFields(KindConfiguration, "", before, after)
	changes = append(changes, diffEntries(KindQueue, before.Queues, after.Queues,
		func(q croft.Queue) string { return string(q.ID) },
		func(q croft.Queue) string { return fmt.Sprintf("%s%s in pool %s", q.Host, q.Prefix, q.Pool) })...)
	changes = append(changes, diffEntries(KindPool, before.Pools, after.Pools,
		func(p croft.PoolRule) string { return string(p.ID) },
		func(p croft.PoolRule) string { return fmt.Sprintf("spare %t", p.Spare) })...)
	return append(changes, diffEntries(KindOrganisation, before.Organisations, after.Organisations,
		func(o croft.Organisation) string { return string(o.ID) },
		func(o croft.Organisation) string {
			return fmt.Sprintf("weight %v, number of keys %d", o.Weight, len(o.Keys))
		})...)
}

// diffEntries returns the changes of the entries of one kind: those added or changed in the order of after, then those removed.
func diffEntries[T any](kind Kind, before, after []T, id, summary func(T) string) []Change {
	var changes []Change
	old := map[string]T{}
	for _, entry := range before {
		old[id(entry)] = entry
	}
	kept := map[string]bool{}
	for _, entry := range after {
		name := id(entry)
		kept[name] = true
		previous, found := old[name]
		if !found {
			changes = append(changes, Change{Action: Added, Kind: kind, ID: name, New: summary(entry)})
			continue
		}
		changes = append(changes, diffFields(kind, name, previous, entry)...)
	}
	for _, entry := range before {
		if !kept[id(entry)] {
			changes = append(changes, Change{Action: Removed, Kind: kind, ID: id(entry), Old: summary(entry)})
		}
	}
	return changes
}

// diffFields returns the fields of an entry that differ. Lists of other entries are left out, and of keys only numbers are compared.
func diffFields(kind Kind, id string, before, after any) []Change {
	var changes []Change
	old, current := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		oldValue, newValue := old.Field(i).Interface(), current.Field(i).Interface()
		oldText, newText := fmt.Sprintf("%+v", oldValue), fmt.Sprintf("%+v", newValue)
		if keys, ok := oldValue.([]croft.KeyDigest); ok {
			oldText, newText = diffKeys(keys, newValue.([]croft.KeyDigest))
		} else if old.Field(i).Kind() == reflect.Slice {
			continue
		}
		if oldText != newText {
			changes = append(changes, Change{Action: Changed, Kind: kind, ID: id, Field: old.Type().Field(i).Name, Old: oldText, New: newText})
		}
	}
	return changes
}

// diffKeys returns the numbers of keys before and after, with the numbers added and removed; the texts are equal if no key differs.
func diffKeys(before, after []croft.KeyDigest) (oldText, newText string) {
	added, removed := countMissing(after, before), countMissing(before, after)
	oldText = fmt.Sprint(len(before))
	if added == 0 && removed == 0 {
		return oldText, oldText
	}
	return oldText, fmt.Sprintf("%d (%d added, %d removed)", len(after), added, removed)
}

// countMissing returns how many keys are not among others.
func countMissing(keys, others []croft.KeyDigest) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}
