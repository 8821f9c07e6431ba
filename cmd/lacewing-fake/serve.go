package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

var (
	errSettings = eris.New("cannot use settings file")
	errServe    = eris.New("cannot run server")
)

var logger = log.NewWithOptions(os.Stderr, log.Options{Prefix: "fake", ReportTimestamp: true})

// server is an HTTP handler with its listen address.
type server struct {
	address string
	handler http.Handler
}

// serve runs the servers until ctx ends.
func serve(ctx context.Context, servers ...server) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		httpServer := &http.Server{Addr: s.address, Handler: s.handler, ErrorLog: logger.StandardLog()}
		group.Go(func() error {
			logger.Info("listening", "address", s.address)
			if err := httpServer.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrap(errServe, err.Error())
			}
			return nil
		})
		context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	}
	return group.Wait()
}

// readSettings decodes a JSON file into value.
func readSettings(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(errSettings, err.Error())
	}
	if err := json.Unmarshal(data, value); err != nil {
		return eris.Wrapf(errSettings, "%s: %v", path, err)
	}
	return nil
}

// exit logs err and returns the matching exit status.
func exit(err error) subcommands.ExitStatus {
	if err != nil {
		logger.Error("command failed", "error", err.Error())
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
