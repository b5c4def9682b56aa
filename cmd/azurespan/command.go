package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/azurespan/azurespan/internal/base/setup"
	"github.com/azurespan/azurespan/internal/link/logsvc"
	"github.com/azurespan/azurespan/platform"
)

type (
	// environment holds the process-wide inputs and outputs of a command.
	environment struct {
		in          io.Reader
		out, errOut io.Writer
		now         func() time.Time
		entropy     io.Reader
	}

	// options holds the flags of all commands.
	options struct {
		command     string
		json        bool
		settings    []string
		configs     []string
		replaces    string
		operator    string
		logAddress  string
		publication string
		timeout     time.Duration
		admin       string
		secretFile  string
		request     string
		model       string
		trace       string
		// addresses are the second internal ports of daemons on entry hosts.
		addresses []string
		// logFiles are the logs of daemons on entry hosts.
		logFiles []string
	}

	// commandResult is the result of a command. It is printed as text by
	// writeText, or with --json as JSON.
	commandResult interface{ writeText(w io.Writer) }
)

// directClient connects only to the address that the operator gave. It uses no
// proxy of the environment and follows no redirect, because either would send the
// secret to another host.
var directClient = &http.Client{
	Transport:     &http.Transport{},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// defaultTimeout is the default of --timeout.
const defaultTimeout = 30 * time.Second

const exitCodes = "Exit codes: 0 ok, 1 refused or problem found, 2 usage, 3 unreachable, 4 internal."

// parseArgs parses the command line. For an invalid one and for a request for
// help it prints help, sets done and returns the exit code.
func parseArgs(args []string) (o options, code int, done bool) {
	// flaggy exits the process on an invalid command line, which would skip
	// deferred calls. A panic can be turned into an exit code instead.
	flaggy.PanicInsteadOfExit = true
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		text, ok := r.(string)
		if _, err := fmt.Sscanf(text, "Panic instead of exit with code: %d", &code); !ok || err != nil {
			panic(r)
		}
		done = true
	}()
	o.timeout = defaultTimeout
	p := flaggy.NewParser("azurespan")
	p.Description = "Serves rarely used language models on a few accelerators."
	p.AdditionalHelpAppend = "\nEach command has its own help: azurespan publish --help\n" + exitCodes
	p.ShowCompletion = false
	p.Version = "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		p.Version = b.Main.Version
	}
	add := func(name, description, examples string, flags func(*flaggy.Subcommand)) *flaggy.Subcommand {
		sc := flaggy.NewSubcommand(name)
		sc.Description = description
		sc.AdditionalHelpAppend = "\nExamples:\n  " + strings.ReplaceAll(examples, "\n", "\n  ") + "\n" + exitCodes
		sc.Bool(&o.json, "j", "json", "Print the result as one JSON object.")
		flags(sc)
		p.AttachSubcommand(sc, 1)
		return sc
	}
	commands := []*flaggy.Subcommand{
		add("serve", "Runs a daemon until SIGTERM, then shuts it down gracefully.",
			"azurespan serve --settings /etc/azurespan.ini", func(sc *flaggy.Subcommand) {
				sc.StringSlice(&o.settings, "s", "settings", "Settings file of the daemon.")
			}),
		add("entry", "Runs a daemon on an entry host of the users' platform until SIGTERM.",
			platform.SettingsVariable+"=/etc/azurespan/local.conf azurespan entry", func(*flaggy.Subcommand) {}),
		add("check", "Checks settings and configuration files offline and reports all problems.",
			"azurespan check --settings azurespan.ini --config config.json\ncooperative | azurespan check --config -", func(sc *flaggy.Subcommand) {
				sc.StringSlice(&o.settings, "s", "settings", "Settings file; may be repeated.")
				sc.StringSlice(&o.configs, "c", "config", "Configuration file, - for standard input; may be repeated.")
			}),
		add("publish", "Publishes a configuration that replaces the stated version.",
			"azurespan publish --config config.json --replaces 0 --operator haneul --log 10.0.0.7:7000\nazurespan publish --config config.json --replaces 41 --operator haneul --log 10.0.0.7:7000 \\\n  --publication 01JE5T0000000000000000000A   (after a lost response)", func(sc *flaggy.Subcommand) {
				sc.StringSlice(&o.configs, "c", "config", "Configuration file, - for standard input.")
				sc.String(&o.replaces, "r", "replaces", "Version that the configuration replaces; 0 if there is none.")
				sc.String(&o.operator, "o", "operator", "Name of the operator, shown to other operators.")
				sc.String(&o.logAddress, "l", "log", "Log service: IP address and port, or URL.")
				sc.String(&o.publication, "p", "publication", "Identifier of an earlier attempt whose outcome is not known.")
				sc.Duration(&o.timeout, "t", "timeout", "Time limit.")
			}),
		add("status", "Prints the status of a daemon.",
			"azurespan status --settings /etc/azurespan.ini\nazurespan status --admin 10.0.0.7:7002 --secret-file secret --json", func(sc *flaggy.Subcommand) {
				adminFlags(sc, &o)
			}),
		add("explain", "Prints why a daemon routed, loaded or refused something.",
			"azurespan explain --settings /etc/azurespan.ini --request 01JE5T0000000000000000000A\nazurespan explain --admin 10.0.0.7:7002 --secret-file secret --model tray-general-8b\nazurespan explain --file entry-1.log --request 9c41d07be2a35f68", func(sc *flaggy.Subcommand) {
				adminFlags(sc, &o)
				sc.StringSlice(&o.logFiles, "l", "file", "Log of a daemon on an entry host, - for standard input; may be repeated.")
				sc.String(&o.request, "r", "request", "Request identifier.")
				sc.String(&o.model, "m", "model", "Model or adapter name.")
			}),
		add("refusals", "Says why requests were refused, and what was done for the models refused most.",
			"azurespan refusals --file entry-1.log --file entry-2.log\ncat *.log | azurespan refusals --file -", func(sc *flaggy.Subcommand) {
				sc.StringSlice(&o.logFiles, "l", "file", "Log of a daemon on an entry host, - for standard input; may be repeated.")
			}),
		add("accounts", "Lists client accounts with their use, as daemons on entry hosts know it.",
			"azurespan accounts --address 10.0.0.7:7101\nazurespan accounts --address 10.0.0.7:7101 --address 10.0.0.8:7101 --json", func(sc *flaggy.Subcommand) {
				sc.StringSlice(&o.addresses, "a", "address", "Second internal port of a daemon; may be repeated, to sum over daemons.")
				sc.Duration(&o.timeout, "t", "timeout", "Time limit.")
			}),
		add("replay", "Replays a recorded trace and compares the outcomes with those in the trace.",
			"azurespan replay --trace trace.jsonl", func(sc *flaggy.Subcommand) {
				sc.String(&o.trace, "f", "trace", "Trace file.")
			}),
	}
	if err := p.ParseArgs(args); err != nil {
		p.ShowHelpWithMessage(err.Error())
		return o, exitUsage, true
	}
	for _, sc := range commands {
		if sc.Used {
			o.command = sc.Name
			return o, exitOK, false
		}
	}
	p.ShowHelpWithMessage("A command is required.")
	return o, exitUsage, true
}

func adminFlags(sc *flaggy.Subcommand, o *options) {
	sc.StringSlice(&o.settings, "s", "settings", "Settings file with the admin address and the secret.")
	sc.String(&o.admin, "a", "admin", "Admin address of the daemon, instead of the one in the settings.")
	sc.String(&o.secretFile, "k", "secret-file", "File with the shared secret, instead of the one in the settings.")
	sc.Duration(&o.timeout, "t", "timeout", "Time limit.")
}

// run runs one command and returns its exit code.
func run(ctx context.Context, args []string, env environment) int {
	o, code, done := parseArgs(args)
	if done {
		return code
	}
	switch o.command {
	case "publish", "status", "explain", "accounts":
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.timeout)
		defer cancel()
	}
	result, err := dispatch(ctx, o, env)
	return report(env, o, result, err)
}

// dispatch runs the command of o. It may return both a result and an error, which
// then sets the exit code.
func dispatch(ctx context.Context, o options, env environment) (commandResult, error) {
	if o.timeout <= 0 {
		return nil, &usageError{detail: "--timeout must be above 0"}
	}
	switch o.command {
	case "entry":
		return nil, serveEntry(ctx, env.out)
	case "serve":
		if len(o.settings) != 1 {
			return nil, &usageError{detail: "serve needs one --settings file"}
		}
		s, err := setup.Load(o.settings[0])
		if err != nil {
			return settingsProblems(err), &refusedError{detail: "the settings are not valid"}
		}
		return nil, serve(ctx, env.out, s)
	case "check":
		return checkCommand(o, env.in)
	case "publish":
		return publishCommand(ctx, o, env, func(base string) controlLog { return logsvc.New(base, directClient) })
	case "status", "explain":
		if len(o.logFiles) > 0 && (o.request == "") != (o.model == "") {
			return explainFiles(o, env.in)
		}
		return adminCommand(ctx, o, directClient)
	case "refusals":
		if len(o.logFiles) == 0 {
			return nil, &usageError{detail: "refusals needs a --file"}
		}
		return summariseRefusals(o, env.in)
	case "accounts":
		return accountsCommand(ctx, o, directClient)
	case "replay":
		if o.trace == "" {
			return nil, &usageError{detail: "replay needs a --trace file"}
		}
		return nil, replay(ctx, env.out, o.trace)
	default:
		return nil, &usageError{detail: "unknown command " + o.command}
	}
}
