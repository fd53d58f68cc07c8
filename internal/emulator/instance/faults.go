package instance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultCost is the usual time that an instance takes for a new connection.
const DefaultCost = 12 * time.Millisecond

// Faults are the settable faults and limits of an instance.
type Faults struct {
	// Lag is the time between the arrival of a record and its replay.
	Lag time.Duration
	// Cut stops replication to and from the instance.
	Cut bool
	// Refuse resets new connections without an answer.
	Refuse bool
	// Delay is added before each answer, after the statement has run.
	Delay time.Duration
	// Cost is the time that a new connection takes.
	Cost time.Duration
	// Slots limits the statements that run at once; more than that wait. Zero
	// is no limit.
	Slots int
	// Connections limits the open connections; more than that get SQLSTATE
	// 53300. Zero is no limit.
	Connections int
}

// Validate reports values below zero.
func (f Faults) Validate() error {
	if f.Lag < 0 || f.Delay < 0 || f.Cost < 0 {
		return eris.Errorf("lag %v, delay %v and cost %v must not be negative", f.Lag, f.Delay, f.Cost)
	}
	if f.Slots < 0 || f.Connections < 0 {
		return eris.Errorf("slots %d and connections %d must not be negative", f.Slots, f.Connections)
	}
	return nil
}

// faultsJSON is the JSON form of Faults, with durations as text such as "12ms".
// Fields that are absent keep their value when it is decoded.
type faultsJSON struct {
	Lag         *string `json:"lag"`
	Cut         *bool   `json:"cut"`
	Refuse      *bool   `json:"refuse"`
	Delay       *string `json:"delay"`
	Cost        *string `json:"cost"`
	Slots       *int    `json:"slots"`
	Connections *int    `json:"connections"`
}

// MarshalJSON writes durations as text.
func (f Faults) MarshalJSON() ([]byte, error) {
	lag, delay, cost := f.Lag.String(), f.Delay.String(), f.Cost.String()
	return json.Marshal(faultsJSON{
		Lag: &lag, Cut: &f.Cut, Refuse: &f.Refuse, Delay: &delay, Cost: &cost,
		Slots: &f.Slots, Connections: &f.Connections,
	})
}

// UnmarshalJSON changes the fields that are present and rejects unknown ones.
func (f *Faults) UnmarshalJSON(data []byte) error {
	text := faultsJSON{Cut: &f.Cut, Refuse: &f.Refuse, Slots: &f.Slots, Connections: &f.Connections}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&text); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	for _, field := range []struct {
		name     string
		text     *string
		duration *time.Duration
	}{{"lag", text.Lag, &f.Lag}, {"delay", text.Delay, &f.Delay}, {"cost", text.Cost, &f.Cost}} {
		if field.text == nil {
			continue
		}
		d, err := time.ParseDuration(*field.text)
		if err != nil {
			return fmt.Errorf("faults: %s: %w", field.name, err)
		}
		*field.duration = d
	}
	return f.Validate()
}
