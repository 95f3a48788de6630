package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

type adminArgs struct {
	Host string        `default:"127.0.0.1:7003" help:"admin address of any entry host"`
	Wait time.Duration `default:"15s" help:"longest wait for the answer"`

	Show    *showArgs    `arg:"subcommand:show" help:"print the configuration in force"`
	Status  *statusArgs  `arg:"subcommand:status" help:"print what the host knows and does"`
	Apply   *applyArgs   `arg:"subcommand:apply" help:"apply a file of changes"`
	Drain   *drainArgs   `arg:"subcommand:drain" help:"keep new work from an upstream, host, domain or region"`
	Undrain *undrainArgs `arg:"subcommand:undrain" help:"end a drain"`
	Explain *explainArgs `arg:"subcommand:explain" help:"say where a request would go, and why"`
}

type (
	showArgs   struct{}
	statusArgs struct{}
	applyArgs  struct {
		File   string  `arg:"positional,required" help:"changes, JSON with comments, in the form of the schema's Change"`
		Expect *uint64 `help:"revision that the change is made for, instead of the file's"`
	}
	drainArgs struct {
		Kind   string  `arg:"positional,required" help:"upstream, host, domain or region"`
		Name   string  `arg:"positional,required" help:"its name"`
		Expect *uint64 `help:"revision that the change is made for; without it any"`
	}
	undrainArgs drainArgs
	explainArgs struct {
		Service string `arg:"positional,required" help:"service of the request"`
		Rank    string `help:"rank of the request"`
		Caller  string `help:"caller of the request"`
	}
)

// run sends the subcommand's request to a host and prints the answer as indented JSON.
func (a *adminArgs) run(ctx context.Context, out, _ io.Writer) error {
	method, path, body, err := a.request()
	if err != nil {
		return err
	}
	answer, err := call(ctx, a.Wait, method, "http://"+a.Host+"/v1/admin"+path, body)
	if err != nil {
		return err
	}
	var pretty bytes.Buffer
	if json.Indent(&pretty, answer, "", "  ") != nil {
		return ErrFailed.New("the answer is not JSON: %.200s", answer)
	}
	_, _ = fmt.Fprintln(out, pretty.String())
	return nil
}

// request returns the HTTP request of the given subcommand.
func (a *adminArgs) request() (method, path string, body []byte, err error) {
	switch {
	case a.Show != nil:
		return http.MethodGet, "/document", nil, nil
	case a.Status != nil:
		return http.MethodGet, "/status", nil, nil
	case a.Apply != nil:
		body, err = a.Apply.change()
		return http.MethodPost, "/document", body, err
	case a.Drain != nil:
		body, err = json.Marshal(map[string]any{"kind": a.Drain.Kind, "name": a.Drain.Name, "expect": a.Drain.Expect})
		return http.MethodPost, "/drains", body, err
	case a.Undrain != nil:
		path = "/drains/" + url.PathEscape(a.Undrain.Kind) + "/" + url.PathEscape(a.Undrain.Name)
		if a.Undrain.Expect != nil {
			path += fmt.Sprintf("?expect=%d", *a.Undrain.Expect)
		}
		return http.MethodDelete, path, nil, nil
	case a.Explain != nil:
		query := url.Values{"service": {a.Explain.Service}}
		if a.Explain.Rank != "" {
			query.Set("rank", a.Explain.Rank)
		}
		if a.Explain.Caller != "" {
			query.Set("caller", a.Explain.Caller)
		}
		return http.MethodGet, "/explain?" + query.Encode(), nil, nil
	}
	return "", "", nil, ErrUsage.New("a command is missing; see boragelane admin --help")
}

// change reads the file and overrides its expected revision if the flag is given.
func (a *applyArgs) change() ([]byte, error) {
	data, err := os.ReadFile(a.File)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "reading the changes")
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "%s", a.File)
	}
	if a.Expect == nil {
		return std, nil
	}
	var obj map[string]json.RawMessage
	if err := json.Unmarshal(std, &obj); err != nil {
		return nil, ErrUsage.Wrap(err, "%s", a.File)
	}
	obj["expect"] = json.RawMessage(fmt.Sprint(*a.Expect))
	return json.Marshal(obj)
}
