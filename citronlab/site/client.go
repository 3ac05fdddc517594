package site

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
)

// clientHost is the host of the routes that PublishConfig writes.
const clientHost = "jobs.example"

// Client sends requests as callers do. The zero value has no timeout.
type Client struct {
	HTTP http.Client
	// Key is sent with each request unless it is empty.
	Key string
}

// Call sends a request to the front address of a daemon and returns status and body. Status 0 means that there was no
// complete answer.
func (c *Client) Call(front, method, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = clientHost
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

// State returns the state of a job as reported at a front address; it is empty unless the status is 200.
func (c *Client) State(front, path string) (status int, state string) {
	status, raw := c.Call(front, http.MethodGet, path, "")
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(raw), &body) != nil {
		return status, ""
	}
	return status, body.State
}

// FreeAddresses returns ip with n different ports that are free at the moment.
func FreeAddresses(ip string, n int) (addresses []string, err error) {
	for range n {
		l, listenErr := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if listenErr != nil {
			return nil, listenErr
		}
		// A port that is freed before the next one is chosen may be chosen again.
		defer func() { err = errors.Join(err, l.Close()) }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
