package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// Exit codes of the command line. The help text describes them.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitNotInForce = 4
)

// Client runs the commands of the command line. All fields must be set before Run.
type Client struct {
	// Input is read by the explain command if no log files are named.
	Input io.Reader
	// Output receives the results and, with JSON output, also the errors.
	Output io.Writer
	// Messages receives progress and, with text output, the errors.
	Messages io.Writer
	// Now returns the current time for envelopes and audit records.
	Now func() time.Time
	// Random is the source of random bytes for keys and nonces.
	Random io.Reader
	// Open connects to the platform at a URL. It also returns a function that
	// releases the connections.
	Open func(address string) (proxy.Store, func(), error)
	// Sleep waits for a duration or until the context ends.
	Sleep func(ctx context.Context, d time.Duration) error
}

// options are the global options and the commands.
type options struct {
	Platform string `long:"platform" value-name:"URL" env:"AUBURNYOKE_PLATFORM" description:"address of the platform, http or https"`
	Author   string `long:"author" value-name:"NAME" env:"AUBURNYOKE_AUTHOR" description:"your name for the audit trail"`
	Output   string `long:"output" choice:"text" choice:"json" default:"text" description:"form of the results"`

	Check      checkCommand      `command:"check" description:"Check a document without the platform"`
	Try        changeCommand     `command:"try" description:"Put a document in force in the trial stage"`
	Promote    changeCommand     `command:"promote" description:"Put the document of the trial stage in force in production"`
	Diff       diffCommand       `command:"diff" description:"Compare a document with the one in force or with another file"`
	Status     statusCommand     `command:"status" description:"Show on which hosts the document is in force"`
	Audit      auditCommand      `command:"audit" description:"Show the accepted changes, newest first"`
	Key        keyCommand        `command:"key" description:"Create and withdraw account keys in a document file"`
	Explain    explainCommand    `command:"explain" description:"Tell from the hosts' logs what happened to a request"`
	Completion completionCommand `command:"completion" description:"Print the shell completion script for bash"`
}

// errNotInForce reports that the revision is not in force on every live host when the
// wait ends.
var errNotInForce = errors.New("not yet in force on every live host")

// usageError reports wrong arguments or options.
type usageError struct{ text string }

// Error describes what is wrong.
func (e *usageError) Error() string { return e.text }

// invocation is one run of a command.
type invocation struct {
	*Client
	ctx     context.Context
	options *options
	// cleanUp closes the store. It does nothing until a command has opened one.
	cleanUp func()
}

// executor is a command whose options have been parsed.
type executor interface {
	run(inv *invocation) error
}

// description is printed by the help, which keeps its line breaks and wraps at 80
// columns.
const description = `Checks the document of an environment, tries it in the trial stage, promotes
it to production and shows on which hosts it is in force.

Exit codes:
  0  done
  1  refused or failed
  2  wrong usage
  3  conflict with another operator's change
  4  accepted, but not yet in force on every live host`

// Run runs the command given by args and returns the exit code.
func (c *Client) Run(ctx context.Context, args []string) int {
	inv := &invocation{Client: c, ctx: ctx, options: &options{}, cleanUp: func() {}}
	defer func() { inv.cleanUp() }()
	inv.options.Promote.stage = proxy.Production
	inv.options.Try.stage = proxy.Trial
	parser := flags.NewNamedParser("auburnyoke", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", inv.options); err != nil {
		return inv.finish(fmt.Errorf("declare options: %w", err))
	}
	parser.LongDescription = description
	parser.CompletionHandler = inv.printCompletions
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if command == nil {
			return nil
		}
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unexpected argument %s", proxy.QuoteRedacted(rest[0]))}
		}
		return command.(executor).run(inv)
	}
	_, err := parser.ParseArgs(args)
	return inv.finish(err)
}

// finish prints err, if any, and returns the exit code for it.
func (inv *invocation) finish(err error) int {
	var parse *flags.Error
	var usage *usageError
	var conflict *environment.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &parse) && parse.Type == flags.ErrHelp:
		fmt.Fprintln(inv.Output, parse.Message)
		return ExitDone
	case errors.As(err, &parse), errors.As(err, &usage):
		inv.printError(err)
		fmt.Fprintln(inv.Messages, "see auburnyoke --help")
		return ExitUsage
	case errors.As(err, &conflict):
		inv.printError(err)
		return ExitConflict
	case errors.Is(err, errNotInForce):
		inv.printError(err)
		return ExitNotInForce
	}
	inv.printError(err)
	return ExitFailed
}

// store connects to the platform. The connection is closed when the command ends.
func (inv *invocation) store() (proxy.Store, error) {
	if inv.options.Platform == "" {
		return nil, &usageError{"no platform: set --platform or AUBURNYOKE_PLATFORM"}
	}
	store, cleanUp, err := inv.Open(inv.options.Platform)
	if err != nil {
		return nil, fmt.Errorf("connect to the platform: %w", err)
	}
	inv.cleanUp = cleanUp
	return store, nil
}

// stageOption is the option of commands that read one stage.
type stageOption struct {
	Stage string `long:"stage" choice:"trial" choice:"production" default:"production" description:"stage of the environment"`
}

// environmentArgument is the argument of commands that read an environment.
type environmentArgument struct {
	Arguments struct {
		Environment string `positional-arg-name:"ENVIRONMENT" description:"name of the environment"`
	} `positional-args:"true" required:"true"`
}

func (a *environmentArgument) id() (proxy.EnvironmentID, error) {
	name := a.Arguments.Environment
	if err := proxy.CheckID("environment", name); err != nil {
		return "", &usageError{err.Error()}
	}
	return proxy.EnvironmentID(name), nil
}

// documentArgument is the argument of commands that read a document file.
type documentArgument struct {
	Arguments struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document in YAML"`
	} `positional-args:"true" required:"true"`
}
