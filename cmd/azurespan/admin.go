package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/azurespan/azurespan/internal/base/fault"
	"github.com/azurespan/azurespan/internal/base/setup"
)

const (
	// maxResponseBytes bounds what is read of a daemon's response.
	maxResponseBytes = 16 << 20
	// maxDetailBytes bounds the part of a refusal that is printed.
	maxDetailBytes = 300
	// daemonService names the daemon in errors.
	daemonService = "the daemon"
)

// adminTarget is the base URL of a daemon's admin listener and the secret that
// it requires.
type adminTarget struct{ base, secret string }

// adminCommand runs status, or explain with a daemon.
func adminCommand(ctx context.Context, o options, client *http.Client) (commandResult, error) {
	path, query := "/admin/status", url.Values{}
	if o.command == "explain" {
		if (o.request == "") == (o.model == "") {
			return nil, &usageError{detail: "explain needs either --request or --model"}
		}
		path = "/admin/decisions"
		if o.request != "" {
			query.Set("request", o.request)
		} else {
			query.Set("model", o.model)
		}
	}
	t, problems, err := resolveTarget(o)
	if err != nil {
		if problems != nil {
			return problems, err
		}
		return nil, err
	}
	doc, err := t.get(ctx, client, path, query)
	if err != nil {
		return nil, err
	}
	if list, ok := doc["decisions"].([]any); o.command == "explain" && ok && len(list) == 0 {
		return doc, &refusedError{detail: "the daemon has no decision about it; it may be too old to be kept, or another daemon made it"}
	}
	return doc, nil
}

// resolveTarget returns the daemon that o specifies. The result lists the
// problems of its settings file, nil if there are none.
func resolveTarget(o options) (adminTarget, *checkResult, error) {
	var t adminTarget
	if len(o.settings) > 1 || len(o.settings) == 0 && (o.admin == "" || o.secretFile == "") {
		return t, nil, &usageError{detail: o.command + " needs one --settings file, or --admin and --secret-file"}
	}
	address := o.admin
	if len(o.settings) == 1 {
		s, err := setup.Load(o.settings[0])
		if err != nil {
			return t, settingsProblems(err), &refusedError{detail: "the settings are not valid"}
		}
		t.secret = string(s.Secret.SharedSecret)
		if address == "" {
			address = s.Daemon.AdminAddress
		}
	}
	if o.secretFile != "" {
		b, err := os.ReadFile(o.secretFile)
		if err != nil {
			return t, nil, &refusedError{detail: err.Error()}
		}
		t.secret = strings.TrimRight(string(b), "\r\n")
	}
	base, err := setup.BaseURL(address)
	if err != nil {
		return t, nil, &usageError{detail: "admin address: " + err.Error()}
	}
	t.base = base
	return t, nil, nil
}

// get requests a JSON object from the daemon.
func (t adminTarget) get(ctx context.Context, client *http.Client, path string, query url.Values) (document, error) {
	b, err := t.getBytes(ctx, client, path, query)
	if err != nil {
		return nil, err
	}
	var d document
	dec := json.NewDecoder(strings.NewReader(string(b)))
	// Offsets and counters may exceed the exact range of a float64.
	dec.UseNumber()
	if err := dec.Decode(&d); err != nil {
		return nil, &protocolError{service: daemonService, detail: err.Error()}
	}
	return d, nil
}

// getBytes requests a response with status 200 from the daemon.
func (t adminTarget) getBytes(ctx context.Context, client *http.Client, path string, query url.Values) ([]byte, error) {
	address := t.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, err
	}
	if t.secret != "" {
		req.Header.Set("Authorization", "Bearer "+t.secret)
	}
	req.Header.Set("Accept", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, &unreachableError{service: daemonService, cause: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, &unreachableError{service: daemonService, cause: err}
	}
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, &unreachableError{service: daemonService, cause: fault.New(fault.NotReady, "%s", resp.Status)}
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, &refusedError{detail: fmt.Sprintf("the daemon refused: %s %s", resp.Status, strings.TrimSpace(string(b[:min(len(b), maxDetailBytes)])))}
	default:
		return nil, &protocolError{service: daemonService, detail: resp.Status}
	}
	return b, nil
}
