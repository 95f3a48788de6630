package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/joomcode/errorx"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed for a reason without its own code.
	ExitFailed = 1
	// ExitUsage means invalid arguments, settings or input.
	ExitUsage = 2
	// ExitConflict means that the configuration is not at the expected revision, because another change came first.
	ExitConflict = 3
	// ExitUnavailable means that a host or the platform did not answer or was unavailable.
	ExitUnavailable = 4
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("cmd")

// Error types, one per exit code.
var (
	// ErrUsage reports invalid arguments, settings or input.
	ErrUsage = Errors.NewType("usage")
	// ErrConflict reports a revision conflict with another change.
	ErrConflict = Errors.NewType("conflict")
	// ErrUnavailable reports that a host or the platform was unavailable.
	ErrUnavailable = Errors.NewType("unavailable")
	// ErrFailed reports any other failure.
	ErrFailed = Errors.NewType("failed")
)

type arguments struct {
	Serve   *serveArgs   `arg:"subcommand:serve" help:"run an entry host's process on the users' platform"`
	Entry   *entryArgs   `arg:"subcommand:entry" help:"run an entry host's process"`
	Check   *checkArgs   `arg:"subcommand:check" help:"check a file of settings"`
	Lookup  *lookupArgs  `arg:"subcommand:lookup" help:"ask which entry hosts to use"`
	Admin   *adminArgs   `arg:"subcommand:admin" help:"operate the system"`
	Version *versionArgs `arg:"subcommand:version" help:"print the version"`
}

// Description returns the text above the usage in --help.
func (arguments) Description() string {
	return "boragelane decides for each request which region and upstream serve it"
}

// Epilogue returns the text below the usage in --help.
func (arguments) Epilogue() string {
	return "exit codes: 0 done, 1 failed, 2 bad arguments, settings or input, 3 another change came first, 4 no answer"
}

type command interface {
	run(ctx context.Context, out, errs io.Writer) error
}

// command returns the command given on the command line, or nil.
func (a *arguments) command() command {
	switch {
	case a.Serve != nil:
		return a.Serve
	case a.Entry != nil:
		return a.Entry
	case a.Check != nil:
		return a.Check
	case a.Lookup != nil:
		return a.Lookup
	case a.Admin != nil:
		return a.Admin
	case a.Version != nil:
		return a.Version
	}
	return nil
}

// Execute runs the program and returns its exit code.
func Execute(args []string, out, errs io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "boragelane"}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "boragelane:", err)
		return ExitFailed
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_, _ = fmt.Fprintln(errs, "boragelane:", err)
		return ExitUsage
	}
	cmd := a.command()
	if cmd == nil {
		_ = parser.WriteHelpForSubcommand(errs, parser.SubcommandNames()...)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := cmd.run(ctx, out, errs); err != nil {
		_, _ = fmt.Fprintln(errs, "boragelane:", err)
		return exitCode(err)
	}
	return ExitOK
}

// exitCode returns the exit code for an error, by its type.
func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, ErrUsage):
		return ExitUsage
	case errorx.IsOfType(err, ErrConflict):
		return ExitConflict
	case errorx.IsOfType(err, ErrUnavailable):
		return ExitUnavailable
	}
	return ExitFailed
}
