// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command shelfctl is the command-line tool for operators: it sends queries, commands and requests for explanations to shelfledge daemons.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
	"github.com/shelfledge/shelfledge/modules/version"
	"github.com/shelfledge/shelfledge/services/shelfctl/shell"
)

type arguments struct {
	Address []string      `help:"Operators' addresses of daemons, IP:PORT, tried in turn." env:"SHELFCTL_ADDRESS" default:"127.0.0.1:8081"`
	KeyFile string        `help:"File with the operator's key." env:"SHELFCTL_KEY_FILE" type:"path"`
	CA      string        `help:"Certificate of the daemons' authority; makes the tool use TLS." name:"ca" type:"path"`
	Cert    string        `help:"Client certificate." type:"path"`
	CertKey string        `help:"Key of the client certificate." type:"path"`
	Wait    time.Duration `help:"How long to wait until a change is in force everywhere." default:"4s"`

	Run     runCommand     `cmd:"" help:"Run statements given as arguments or in a file."`
	Prompt  promptCommand  `cmd:"" help:"Read statements at a prompt, with history and completion."`
	Top     topCommand     `cmd:"" help:"Watch halls, endpoints, slots and queues."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type runCommand struct {
	Text   []string `arg:"" optional:"" help:"Statements, separated by semicolons."`
	File   string   `short:"f" help:"File of statements; - for standard input."`
	Output string   `short:"o" enum:"table,json" default:"table" help:"table for people, json for programs."`
}

type promptCommand struct {
	History string `help:"File that keeps the history." type:"path"`
}

type topCommand struct {
	Every time.Duration `help:"Time between two pictures." default:"1s"`
}

type versionCommand struct{}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("shelfctl"), kong.Description("Asks and commands a fleet of shelfledge daemons."))
	os.Exit(run(ctx.Command(), &args))
}

func run(name string, args *arguments) int {
	if name == "version" {
		fmt.Println(version.String())
		return shell.ExitOK
	}
	client, err := newClient(args)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch name {
	case "prompt":
		err = shell.Prompt(ctx, client, os.Stdout, args.Prompt.History)
	case "top":
		err = shell.Top(ctx, client, os.Stdout, args.Top.Every, time.Now)
	default:
		return runStatements(ctx, client, args.Run)
	}
	if err != nil {
		return fail(err)
	}
	return shell.ExitOK
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "shelfctl:", err)
	return shell.ExitUsage
}

func runStatements(ctx context.Context, client *operatorclient.Client, c runCommand) int {
	text, err := c.text()
	if err != nil {
		return fail(err)
	}
	out, err := client.Run(ctx, text)
	code := shell.ExitCode(out, err)
	if err != nil {
		fmt.Fprintln(os.Stderr, "shelfctl:", err)
		return code
	}
	if c.Output == "json" {
		if err := shell.PrintJSON(os.Stdout, out); err != nil {
			return fail(err)
		}
		return code
	}
	shell.Print(os.Stdout, out)
	return code
}

func (c runCommand) text() (string, error) {
	if c.File == "" {
		return strings.Join(c.Text, " "), nil
	}
	in := os.Stdin
	if c.File != "-" {
		f, err := os.Open(c.File)
		if err != nil {
			return "", fmt.Errorf("statements: %w", err)
		}
		// The error of Close is ignored, since the file is only read.
		defer func() { _ = f.Close() }()
		in = f
	}
	raw, err := io.ReadAll(in)
	if err != nil {
		return "", fmt.Errorf("statements: %w", err)
	}
	return string(raw), nil
}

const (
	// addressRounds is how many times the list of addresses is tried.
	addressRounds = 3
	// answerMargin is the time that a response may take in addition to the wait for a change.
	answerMargin = 30 * time.Second
)

func newClient(args *arguments) (*operatorclient.Client, error) {
	o := operatorclient.Options{Wait: args.Wait, Rounds: addressRounds, TLS: args.CA != "", HTTP: &http.Client{Timeout: args.Wait + answerMargin}}
	for _, text := range args.Address {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("address: %w", err)
		}
		o.Addresses = append(o.Addresses, a)
	}
	if args.KeyFile != "" {
		raw, err := os.ReadFile(args.KeyFile)
		if err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		o.Key = strings.TrimSpace(string(raw))
	}
	if args.CA != "" {
		config, err := tlsConfig(args)
		if err != nil {
			return nil, err
		}
		o.HTTP.Transport = &http.Transport{TLSClientConfig: config}
	}
	return operatorclient.New(o), nil
}

func tlsConfig(args *arguments) (*tls.Config, error) {
	raw, err := os.ReadFile(args.CA)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("authority: %s holds no certificate", args.CA)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if args.Cert != "" {
		pair, err := tls.LoadX509KeyPair(args.Cert, args.CertKey)
		if err != nil {
			return nil, fmt.Errorf("client certificate: %w", err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}
