package main

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
)

// awaitWithdrawal opens a connection, prints "connected" so that demo/run withdraws the
// key, and waits until the host ends the connection for that reason.
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
	if err := expectSQLState(err, "0A000"); err != nil {
		return err
	}
	_, err = conn.PgConn().ReceiveMessage(ctx) // the error that ends the connection
	if err := expectSQLState(err, "28000"); err != nil {
		return err
	}
	_, err = o.connect(ctx, o.Hosts[len(o.Hosts)-1], o.Write)
	if err == nil {
		return eris.New("the withdrawn key still connects")
	}
	return nil
}
