package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// cancelInterval is the time between two cancel requests. They are repeated because one
// that arrives before the statement runs has no effect.
const cancelInterval = 200 * time.Millisecond

// cancelElsewhere cancels a statement that runs through one host with a request to
// another host, as happens behind a load balancer.
func cancelElsewhere(ctx context.Context, o options) error {
	conn, err := o.connect(ctx, o.Hosts[0], o.Write)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, `SELECT pg_sleep(30)`)
		ended <- err
	}()
	request := &pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}
	ticker := time.NewTicker(cancelInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return expectSQLState(err, "57014")
		case <-ticker.C:
			if err := sendCancel(ctx, o.Hosts[len(o.Hosts)-1], request); err != nil {
				return err
			}
		}
	}
}

func sendCancel(ctx context.Context, host string, request *pgproto3.CancelRequest) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", host)
	if err != nil {
		return fmt.Errorf("connect for cancel: %w", err)
	}
	defer func() { _ = conn.Close() }()
	encoded, err := request.Encode(nil)
	if err != nil {
		return fmt.Errorf("encode cancel: %w", err)
	}
	if _, err := conn.Write(encoded); err != nil {
		return fmt.Errorf("send cancel: %w", err)
	}
	return nil
}
