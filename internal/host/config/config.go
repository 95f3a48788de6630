package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("config")

// Error types of this package.
var (
	// ErrRead is returned when the settings file cannot be read.
	ErrRead = Errors.NewType("read")
	// ErrInvalid is returned when a settings file has syntax errors or invalid settings.
	ErrInvalid = Errors.NewType("invalid")
)

// Settings holds the settings that an entry host reads at startup.
type Settings struct {
	Seat        string        // Name of this host's seat in the configuration document.
	Domain      string        // Name of this host's failure domain.
	Region      string        // Name of this host's region.
	Front       string        // Listen address for callers, as IP:port.
	Peer        string        // Listen address for other entry hosts, as IP:port.
	Admin       string        // Listen address for operators, as IP:port.
	Platform    string        // Base URL of the platform.
	Seeds       []string      // Peer addresses of hosts to fetch the configuration from at startup.
	LogLevel    string        // Log level: debug, info, warn or error.
	TraceURL    string        // URL of an OTLP collector; tracing is off if it is empty.
	StopTimeout time.Duration // Maximum duration of a graceful shutdown.
}

// Default returns the default values of the optional settings.
func Default() Settings { return Settings{LogLevel: "info", StopTimeout: 30 * time.Second} }

// Load reads and validates a settings file; the error lists every problem on a line of its own.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, ErrRead.Wrap(err, "reading the settings")
	}
	return Parse(file, data)
}

// Parse decodes and validates the contents of a settings file; file is its name in error messages.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	r := &reader{file: file, data: data, offsets: map[string]int{}}
	r.decode(&s)
	if len(r.problems) == 0 {
		r.validate(s)
	}
	if len(r.problems) > 0 {
		return Settings{}, ErrInvalid.New("%s", strings.Join(r.problems, "\n"))
	}
	return s, nil
}

// namePattern matches the names of seats, failure domains and regions.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// maxStopTimeout is the maximum of the setting stop.
const maxStopTimeout = 10 * time.Minute

// validate checks the values of all settings and sorts the problems, since maps have a random order.
func (r *reader) validate(s Settings) {
	for name, v := range map[string]string{"seat": s.Seat, "domain": s.Domain, "region": s.Region} {
		r.require(namePattern.MatchString(v), name, v, "1 to 63 of a-z, 0-9, '.' and '-'")
	}
	for name, v := range map[string]string{"front": s.Front, "peer": s.Peer, "admin": s.Admin} {
		_, err := netip.ParseAddrPort(v)
		r.require(err == nil, name, v, "an IP number and a port, such as 127.0.0.1:7001")
	}
	u, err := url.Parse(s.Platform)
	r.require(err == nil && u.Scheme == "http" && u.Host != "", "platform", s.Platform, "a URL such as http://127.0.0.1:8500")
	for _, v := range s.Seeds {
		_, err := netip.ParseAddrPort(v)
		r.require(err == nil, "seeds", v, "a list of addresses such as 127.0.0.1:7002")
	}
	r.require(slices.Contains(logLevels, s.LogLevel), "log", s.LogLevel, strings.Join(logLevels, ", "))
	if s.TraceURL != "" {
		u, err := url.Parse(s.TraceURL)
		r.require(err == nil && u.Host != "", "trace", s.TraceURL, "a URL such as http://127.0.0.1:4318/v1/traces")
	}
	r.require(s.StopTimeout >= time.Second && s.StopTimeout <= maxStopTimeout, "stop", s.StopTimeout.String(), "1s to 10m")
	slices.Sort(r.problems)
}

// require records a problem at the setting's line unless ok is true.
func (r *reader) require(ok bool, name, value, allowed string) {
	if !ok {
		r.addProblem(r.offsets[name], fmt.Sprintf("%s: %q is not allowed; allowed: %s", name, value, allowed))
	}
}
