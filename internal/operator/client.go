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

// Exit codes.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitConflict   = 3
	ExitNotInForce = 4
)

// Client runs the commands. All fields must be set before Run.
type Client struct {
	// Input gives logs to explain.
	Input io.Reader
	// Output receives results, Messages progress and errors.
	Output   io.Writer
	Messages io.Writer
	// Now reads the wall clock for envelopes and audit records.
	Now func() time.Time
	// Random is the source of keys and nonces.
	Random io.Reader
	// Open connects to the platform at a URL.
	Open func(address string) (proxy.Store, func(), error)
	// Sleep waits for a duration or until the context ends.
	Sleep func(ctx context.Context, d time.Duration) error
}

// options are the options of all commands.
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

// errNotInForce ends a command whose revision is not in force everywhere.
var errNotInForce = errors.New("not yet in force on every live host")

// usageError is an error in the use of the command line.
type usageError struct{ text string }

// Error returns what is wrong and how to correct it.
func (e *usageError) Error() string { return e.text }

// session is the run of one command.
type session struct {
	*Client
	ctx     context.Context
	options *options
	// cleanUp closes the store, once a command has opened it.
	cleanUp func()
}

// executor is a command with its parsed options.
type executor interface {
	run(s *session) error
}

// The help keeps line breaks and wraps at 80 columns.
const description = `Checks the document of an environment, tries it in the trial stage, promotes
it to production and shows on which hosts it is in force.

Exit codes:
  0  done
  1  refused or failed
  2  wrong usage
  3  conflict with another operator's change
  4  accepted, but not yet in force on every live host`

// Run runs the command that args name and returns the exit code.
func (c *Client) Run(ctx context.Context, args []string) int {
	s := &session{Client: c, ctx: ctx, options: &options{}, cleanUp: func() {}}
	defer func() { s.cleanUp() }()
	s.options.Promote.stage = proxy.Production
	s.options.Try.stage = proxy.Trial
	parser := flags.NewNamedParser("auburnyoke", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", s.options); err != nil {
		return s.finish(fmt.Errorf("declare options: %w", err))
	}
	parser.LongDescription = description
	parser.CompletionHandler = s.complete
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		if command == nil {
			return nil
		}
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unexpected argument %s", proxy.QuoteRedacted(rest[0]))}
		}
		return command.(executor).run(s)
	}
	_, err := parser.ParseArgs(args)
	return s.finish(err)
}

// finish reports err and returns the exit code that stands for it.
func (s *session) finish(err error) int {
	var parse *flags.Error
	var usage *usageError
	var conflict *environment.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &parse) && parse.Type == flags.ErrHelp:
		fmt.Fprintln(s.Output, parse.Message)
		return ExitDone
	case errors.As(err, &parse), errors.As(err, &usage):
		s.report(err)
		fmt.Fprintln(s.Messages, "see auburnyoke --help")
		return ExitUsage
	case errors.As(err, &conflict):
		s.report(err)
		return ExitConflict
	case errors.Is(err, errNotInForce):
		s.report(err)
		return ExitNotInForce
	}
	s.report(err)
	return ExitFailed
}

// store connects to the platform until the end of the command.
func (s *session) store() (proxy.Store, error) {
	if s.options.Platform == "" {
		return nil, &usageError{"no platform: set --platform or AUBURNYOKE_PLATFORM"}
	}
	store, cleanUp, err := s.Open(s.options.Platform)
	if err != nil {
		return nil, fmt.Errorf("connect to the platform: %w", err)
	}
	s.cleanUp = cleanUp
	return store, nil
}

// stageOption chooses a stage.
type stageOption struct {
	Stage string `long:"stage" choice:"trial" choice:"production" default:"production" description:"stage of the environment"`
}

// environmentArgument names an environment.
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

// documentArgument names a file.
type documentArgument struct {
	Arguments struct {
		File flags.Filename `positional-arg-name:"FILE" description:"document in YAML"`
	} `positional-args:"true" required:"true"`
}
