package operator

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// readDocument reads and validates a document file.
func readDocument(name flags.Filename) ([]byte, *proxy.Document, error) {
	text, err := os.ReadFile(string(name))
	if err != nil {
		return nil, nil, fmt.Errorf("read the document: %w", err)
	}
	document, err := environment.Decode(text)
	if err != nil {
		return nil, nil, fmt.Errorf("%s is refused:\n%w", name, err)
	}
	return text, document, nil
}

type checkCommand struct{ documentArgument }

// Execute implements flags.Commander; the client runs commands itself.
func (*checkCommand) Execute([]string) error { return nil }

type checkResult struct {
	Environment proxy.EnvironmentID `json:"environment"`
	Digest      environment.Digest  `json:"digest"`
	Accounts    int                 `json:"accounts"`
	Groups      int                 `json:"groups"`
	Routes      int                 `json:"routes"`
}

func (c *checkCommand) run(inv *invocation) error {
	text, document, err := readDocument(c.Arguments.File)
	if err != nil {
		return err
	}
	r := checkResult{
		Environment: document.Environment,
		Digest:      environment.DigestOf(text),
		Accounts:    len(document.Accounts),
		Groups:      len(document.Groups),
		Routes:      len(document.Routes),
	}
	line := fmt.Sprintf("%s is valid: environment %s, %d accounts, %d groups, %d routes, digest %s",
		c.Arguments.File, r.Environment, r.Accounts, r.Groups, r.Routes, r.Digest.Short())
	return inv.printResult(line, r)
}

type diffCommand struct {
	Stage     string `long:"stage" choice:"trial" choice:"production" default:"production" description:"stage to compare with"`
	Arguments struct {
		File  flags.Filename `positional-arg-name:"FILE" required:"true" description:"document in YAML"`
		Other flags.Filename `positional-arg-name:"OTHER" description:"file to compare with, in place of the document in force"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander; the client runs commands itself.
func (*diffCommand) Execute([]string) error { return nil }

type diffResult struct {
	Environment proxy.EnvironmentID `json:"environment"`
	// Revision is the revision of the stage's document that the file was compared
	// with. It is zero for a comparison with another file, or if no document is in
	// force.
	Revision proxy.Revision      `json:"revision"`
	Changes  environment.Changes `json:"changes"`
}

func (c *diffCommand) run(inv *invocation) error {
	_, document, err := readDocument(c.Arguments.File)
	if err != nil {
		return err
	}
	r := diffResult{Environment: document.Environment, Changes: environment.Changes{}}
	var from *proxy.Document
	if c.Arguments.Other != "" {
		_, from, err = readDocument(c.Arguments.Other)
	} else {
		from, r.Revision, err = inv.documentInForce(document.Environment, proxy.Stage(c.Stage))
	}
	if err != nil {
		return err
	}
	r.Changes = append(r.Changes, environment.Diff(from, document)...)
	if len(r.Changes) == 0 {
		return inv.printResult("no difference", r)
	}
	return inv.printResult(r.Changes.String(), r)
}

// documentInForce returns the document in force in a stage and its revision, or nil and
// zero if there is none.
func (inv *invocation) documentInForce(id proxy.EnvironmentID, stage proxy.Stage) (*proxy.Document, proxy.Revision, error) {
	store, err := inv.store()
	if err != nil {
		return nil, 0, err
	}
	envelope, _, err := environment.Load(inv.ctx, store, id, stage)
	if err != nil || envelope == nil {
		return nil, 0, err
	}
	document, err := envelope.Document()
	if err != nil {
		return nil, 0, err
	}
	return document, envelope.Revision, nil
}
