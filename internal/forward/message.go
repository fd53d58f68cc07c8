package forward

import (
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// executePath is the path of the RPC.
const executePath = "/instances/Execute"

// command is a message to the executing host.
type command struct {
	// Execution is the command to run, nil to release the held connection.
	Execution *proxy.Execution `cbor:"1,keyasint,omitempty"`
}

// Validate implements proxy.Message.
func (c *command) Validate() error {
	if c.Execution == nil {
		return nil
	}
	return c.Execution.Validate()
}

// reply is a message of the executing host.
type reply struct {
	// Executed is the result, nil while the host is working on the command.
	Executed *proxy.Executed `cbor:"1,keyasint,omitempty"`
	// Held reports that the connection is kept for further commands.
	Held bool `cbor:"2,keyasint,omitempty"`
}

// Validate implements proxy.Message.
func (r *reply) Validate() error {
	if r.Executed == nil {
		if r.Held {
			return eris.New("connection held without a result")
		}
		return nil
	}
	return r.Executed.Validate()
}
