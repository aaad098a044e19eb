package quest

import (
	"embed"

	"waxwing.example/croft"
)

// Answers are the answers to the questionnaire, in JSON with comments.
type Answers struct {
	Firm        string
	DataCentres []croft.DataCentre
	// WorkersPerDataCentre counts VMs.
	WorkersPerDataCentre int
	// Worker is the size of each.
	Worker Worker
	// RackSize is the number of workers in a rack, which may fail as a whole.
	RackSize int
	// Slots is how many requests an executor runs at once.
	Slots int
	// FailuresADay is how many of a thousand VMs fail on a day.
	FailuresADay int
	// RepairDays is how many days pass until a failed VM is back.
	RepairDays int
	Teams      []Team
	Services   []Service
}

// Worker is the size of a VM.
type Worker struct {
	Cores        int64
	MemoryGB     int64
	Accelerators int64
}

// Team is an owner of services with its quota.
type Team struct {
	Name         string
	Cores        int64
	MemoryGB     int64
	Accelerators int64
}

// Service is a service as its team describes it.
type Service struct {
	Name string
	// Trade says in a few words what the service is for.
	Trade string
	Team  string
	// Tolerance is how many of a million requests may be late or not run.
	Tolerance int64
	// WaveSize is how many of its VMs may be away for maintenance at once.
	WaveSize int
	Kinds    []Kind
}

// Kind is a request kind of a service.
type Kind struct {
	Name string
	// Urgent is Now, Today or Whenever.
	Urgent Urgency
	// Wait is the longest a caller waits, in milliseconds.
	Wait croft.Millis
	// Work is the mean time that a request runs, in milliseconds.
	Work croft.Millis
	// Repeatable says that running a request twice does no harm.
	Repeatable bool
	// RequestsAMinute is the mean rate.
	RequestsAMinute int64
	// Burst is how many times the mean rate must be served within the tolerance.
	Burst int64
}

// Urgency is how urgent a kind is.
type Urgency string

// The urgencies, the most urgent first.
const (
	UrgentNow      Urgency = "Now"
	UrgentToday    Urgency = "Today"
	UrgentWhenever Urgency = "Whenever"
)

var urgencies = map[Urgency]int{UrgentNow: 0, UrgentToday: 1, UrgentWhenever: 2}

//go:embed testdata/saeng.jsonc testdata/sohar.jsonc
var examples embed.FS

// Examples lists the names of the example questionnaires.
func Examples() []string { return []string{"saeng", "sohar"} }

// Example returns an example questionnaire by name and whether there is one.
func Example(name string) ([]byte, bool) {
	text, err := examples.ReadFile("testdata/" + name + ".jsonc")
	return text, err == nil
}
