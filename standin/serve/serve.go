package serve

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

type (
	// Server serves one handler on one address. Use Start to create one; the
	// zero value is not usable.
	Server struct {
		handler http.Handler
		mu      sync.Mutex
		address string
		hs      *http.Server
		conns   map[net.Conn]struct{}
	}

	// Ready is the JSON line that a program prints once it listens.
	Ready struct {
		Program string `json:"program"`
		Name    string `json:"name,omitempty"`
		Address string `json:"address"`
	}
)

const (
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 16 << 20

	readHeaderTimeout = 5 * time.Second
)

// Start serves h on addr. An empty addr means 127.0.0.1 with a free port.
func Start(addr string, h http.Handler) (*Server, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	s := &Server{handler: h, address: addr, conns: map[net.Conn]struct{}{}}
	return s, s.Restart()
}

// Restart listens again on the address that the server had before Kill. It
// fails if another process uses the port.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.address = l.Addr().String()
	s.hs = &http.Server{Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, ConnState: s.track}
	go s.hs.Serve(l)
	return nil
}

// Address returns the IP number and port that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// CloseConnections closes all connections and keeps listening.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	clear(s.conns)
}

// Kill stops listening and closes all connections immediately.
func (s *Server) Kill() {
	s.mu.Lock()
	hs := s.hs
	s.mu.Unlock()
	hs.Close()
	s.CloseConnections()
}

// track maintains the set of open connections.
func (s *Server) track(c net.Conn, st http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st == http.StateClosed || st == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = struct{}{}
}

// Main prints the Ready line with the address of s, waits for SIGTERM or an
// interrupt, and stops s.
func Main(program, name string, s *Server) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	json.NewEncoder(os.Stdout).Encode(Ready{Program: program, Name: name, Address: s.Address()})
	<-c
	s.Kill()
}

// WriteJSON writes v as a JSON response with the given status code.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Error writes an error response with a stable code and a detail.
func Error(w http.ResponseWriter, status int, code, detail string) {
	WriteJSON(w, status, map[string]string{"error": code, "detail": detail})
}

// ReadJSON decodes the body of r into v. It responds with 400 and returns false
// if the body is not valid. An empty body leaves v unchanged.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil && !errors.Is(err, io.EOF) {
		Error(w, http.StatusBadRequest, "bad-request", err.Error())
		return false
	}
	return true
}
