package resv

import (
	"fmt"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// Reservation keeps capacity of executors for tasks of a stage from an expected start on. It is immutable.
type Reservation struct {
	// start is when the last of the tasks is expected to start.
	start croft.Millis
	// planned is when the reservation was planned, and expires when it ends if the tasks have not started.
	planned, expires croft.Millis
	holdings         []holding
}

// holding is what a reservation keeps of one executor.
type holding struct {
	executor croft.WorkerID
	tasks    int
	start    croft.Millis
	// beside is what is expected to be free beside the tasks when they start.
	beside croft.Resources
}

// newReservation returns the reservation of the capacity that openings offer.
func newReservation(need Need, used []opening, now croft.Millis) Reservation {
	r := Reservation{start: now, planned: now}
	latest := now
	executors := map[croft.WorkerID]*Executor{}
	for _, o := range used {
		r.start, latest = max(r.start, o.at), max(latest, o.latest)
		executors[o.executor.ID] = o.executor
		i := slices.IndexFunc(r.holdings, func(h holding) bool { return h.executor == o.executor.ID })
		if i < 0 {
			r.holdings = append(r.holdings, holding{executor: o.executor.ID, tasks: o.tasks, start: o.at})
			continue
		}
		r.holdings[i].tasks += o.tasks
		r.holdings[i].start = max(r.holdings[i].start, o.at)
	}
	for i := range r.holdings {
		h := &r.holdings[i]
		if need.Together {
			h.start = r.start
		}
		h.beside = executors[h.executor].freeAt(h.start)
		for range h.tasks {
			h.beside = h.beside.Minus(need.Needs)
		}
	}
	r.expires = latest + minGrace
	return r
}

// Start returns when the last of the tasks is expected to start.
func (r Reservation) Start() croft.Millis { return r.start }

// Planned returns when the reservation was planned.
func (r Reservation) Planned() croft.Millis { return r.planned }

// Expires returns when the reservation ends if its tasks have not started.
func (r Reservation) Expires() croft.Millis { return r.expires }

// Tasks returns the number of tasks that have not started.
func (r Reservation) Tasks() int {
	n := 0
	for _, h := range r.holdings {
		n += h.tasks
	}
	return n
}

// Executors returns the reserved executors.
func (r Reservation) Executors() []croft.WorkerID {
	ids := make([]croft.WorkerID, 0, len(r.holdings))
	for _, h := range r.holdings {
		ids = append(ids, h.executor)
	}
	return ids
}

// Blocks reports whether the start of another task with an expected end would delay the reserved ones: on a reserved
// executor, it must end before their start or fit beside them.
func (r Reservation) Blocks(executor croft.WorkerID, needs croft.Resources, end croft.Millis) bool {
	i := r.find(executor)
	return i >= 0 && end > r.holdings[i].start && !needs.Fits(r.holdings[i].beside)
}

// WithBackfill returns the reservation after the start of another task with an expected end.
func (r Reservation) WithBackfill(executor croft.WorkerID, needs croft.Resources, end croft.Millis) Reservation {
	i := r.find(executor)
	if i < 0 || end <= r.holdings[i].start {
		return r
	}
	r.holdings = slices.Clone(r.holdings)
	r.holdings[i].beside = r.holdings[i].beside.Minus(needs)
	return r
}

// WithStarted returns the reservation after the start of one of its tasks. One that started elsewhere gives up the capacity
// that is expected last.
func (r Reservation) WithStarted(executor croft.WorkerID) Reservation {
	if len(r.holdings) == 0 {
		return r
	}
	i := r.find(executor)
	if i < 0 {
		i = 0
		for k, h := range r.holdings {
			if h.start >= r.holdings[i].start {
				i = k
			}
		}
	}
	r.holdings = slices.Clone(r.holdings)
	if r.holdings[i].tasks--; r.holdings[i].tasks == 0 {
		r.holdings = slices.Delete(r.holdings, i, i+1)
	}
	return r
}

// maxNamed limits the executors that String names.
const maxNamed = 6

// String describes the reservation for logs.
func (r Reservation) String() string {
	var names []string
	for _, h := range r.holdings[:min(len(r.holdings), maxNamed)] {
		names = append(names, fmt.Sprintf("%s (%d)", h.executor, h.tasks))
	}
	return fmt.Sprintf("%d tasks on %d executors: %s; expected to start %d ms after the plan, expires %d ms after it",
		r.Tasks(), len(r.holdings), strings.Join(names, ", "), r.start-r.planned, r.expires-r.planned)
}

// find returns the index of the holding of an executor, or -1.
func (r Reservation) find(executor croft.WorkerID) int {
	return slices.IndexFunc(r.holdings, func(h holding) bool { return h.executor == executor })
}
