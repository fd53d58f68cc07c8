package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// cancelRepeat is the time between two cancel requests: one that arrives before
// the statement runs has no effect.
const cancelRepeat = 200 * time.Millisecond

// cancelElsewhere cancels a statement of one host through another, as a client
// behind the balancer does.
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
	ticker := time.NewTicker(cancelRepeat)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return expectState(err, "57014")
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

// awaitWithdrawal holds a connection, tells so, and waits until the host ends it
// because its key is withdrawn.
func awaitWithdrawal(ctx context.Context, o options) error {
	conn, err := o.connect(ctx, o.Hosts[0], o.Write)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, `SELECT 1`); err != nil {
		return fmt.Errorf("use the key: %w", err)
	}
	fmt.Println("connected")
	_, err = conn.Exec(ctx, `LISTEN withdrawal`)
	if err := expectState(err, "0A000"); err != nil {
		return err
	}
	_, err = conn.PgConn().ReceiveMessage(ctx) // the next message is the end
	if err := expectState(err, "28000"); err != nil {
		return err
	}
	_, err = o.connect(ctx, o.Hosts[len(o.Hosts)-1], o.Write)
	if err == nil {
		return eris.New("the withdrawn key still connects")
	}
	return nil
}
