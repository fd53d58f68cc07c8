package instance

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// prepared is a prepared statement. statement is nil for an empty query.
type prepared struct {
	statement  statement
	parameters []uint32
	columns    []columnDescription
}

// portal is a bound statement. result is nil until the portal is executed.
type portal struct {
	prepared *prepared
	values   []value
	formats  []int16
	result   *result
	rowsSent int // by the current Execute
}

// format returns the format code of a result column.
func (p *portal) format(column int) int16 {
	return formatOf(p.formats, column)
}

// formatOf returns the format code of the value with index i. By the protocol, no
// codes mean text for all values and one code applies to all values.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	}
	return formats[i]
}

// rowDescription returns the RowDescription of a portal with result columns.
func (p *portal) rowDescription() *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(p.prepared.columns))
	for i, c := range p.prepared.columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       p.format(i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

// handleExtended answers a message of the extended query protocol.
func (c *connection) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(msg)
	case *pgproto3.Bind:
		return c.bind(msg)
	case *pgproto3.Describe:
		return c.describe(msg)
	case *pgproto3.Execute:
		return c.execute(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(c.prepared, msg.Name)
		} else {
			delete(c.portals, msg.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return errorf(proxy.ProtocolViolation, "unexpected message %T", msg)
}

func (c *connection) parse(msg *pgproto3.Parse) error {
	if _, ok := c.prepared[msg.Name]; ok && msg.Name != "" {
		return errorf(proxy.DuplicatePreparedStmt, "prepared statement %q already exists", msg.Name)
	}
	statements, err := parse(msg.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return errorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{parameters: msg.ParameterOIDs}
	if len(statements) == 1 {
		p.statement = statements[0]
		if err := c.session.checkNotFailed(p.statement); err != nil {
			return err
		}
		if p.parameters, p.columns, err = analyze(p.statement, msg.ParameterOIDs); err != nil {
			return err
		}
	}
	c.prepared[msg.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *connection) statement(name string) (*prepared, error) {
	p, ok := c.prepared[name]
	if !ok {
		return nil, errorf(proxy.UndefinedPreparedStmt, "prepared statement %q does not exist", name)
	}
	return p, nil
}

func (c *connection) portal(name string) (*portal, error) {
	p, ok := c.portals[name]
	if !ok {
		return nil, errorf(stateUndefinedPortal, "portal %q does not exist", name)
	}
	return p, nil
}

func (c *connection) bind(msg *pgproto3.Bind) error {
	s, err := c.statement(msg.PreparedStatement)
	if err != nil {
		return err
	}
	if _, ok := c.portals[msg.DestinationPortal]; ok && msg.DestinationPortal != "" {
		return errorf(stateDuplicatePortal, "portal %q already exists", msg.DestinationPortal)
	}
	if err := checkBind(s, msg); err != nil {
		return err
	}
	if s.statement != nil {
		if err := c.session.checkNotFailed(s.statement); err != nil {
			return err
		}
	}
	// A portal needs a transaction; outside a block it is an implicit one.
	c.session.ensureTransaction()
	p := &portal{prepared: s, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, data := range msg.Parameters {
		v, err := decode(data, s.parameters[i], formatOf(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.values = append(p.values, v)
	}
	c.portals[msg.DestinationPortal] = p
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// checkBind reports counts and format codes of a Bind that do not fit the statement.
func checkBind(s *prepared, msg *pgproto3.Bind) error {
	if len(msg.Parameters) != len(s.parameters) {
		return errorf(proxy.ProtocolViolation, "bind message supplies %d parameters, but the statement requires %d",
			len(msg.Parameters), len(s.parameters))
	}
	if n := len(msg.ParameterFormatCodes); n > 1 && n != len(msg.Parameters) {
		return errorf(proxy.ProtocolViolation, "bind message has %d parameter formats but %d parameters",
			n, len(msg.Parameters))
	}
	if n := len(msg.ResultFormatCodes); n > 1 && n != len(s.columns) {
		return errorf(proxy.ProtocolViolation, "bind message has %d result formats but query has %d columns",
			n, len(s.columns))
	}
	for _, f := range append(msg.ResultFormatCodes, msg.ParameterFormatCodes...) {
		if f != formatText && f != formatBinary {
			return errorf(proxy.InvalidParameterValue, "unsupported format code: %d", f)
		}
	}
	return nil
}

func (c *connection) describe(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'S' {
		s, err := c.statement(msg.Name)
		if err != nil {
			return err
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: s.parameters})
		c.describeRows(&portal{prepared: s})
		return nil
	}
	p, err := c.portal(msg.Name)
	if err != nil {
		return err
	}
	c.describeRows(p)
	return nil
}

func (c *connection) describeRows(p *portal) {
	if len(p.prepared.columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(p.rowDescription())
}

func (c *connection) execute(msg *pgproto3.Execute) error {
	p, err := c.portal(msg.Portal)
	if err != nil {
		return err
	}
	if p.prepared.statement == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	return c.runPortal(p, int(msg.MaxRows), false)
}

// sendResult executes a portal if it has not been executed, and sends its rows. It
// reports whether the portal stopped at the maximum number of rows.
func (c *connection) sendResult(p *portal, maximum int) (bool, error) {
	if p.result == nil {
		r, err := c.session.execute(p.prepared.statement, p.values)
		if err != nil {
			return false, err
		}
		p.result = r
	} else if p.result.next == nil {
		return false, errorf(stateNotInPrerequisite, "portal cannot be run again")
	}
	var err error
	switch r := p.result; {
	case r.copyStmt != nil && r.copyStmt.in:
		p.rowsSent, err = c.copyIn(r.copyStmt)
		return false, err
	case r.copyStmt != nil:
		p.rowsSent, err = c.copyOut(r)
		return false, err
	case r.next == nil:
		return false, nil
	}
	return c.sendRows(p, maximum)
}

// sendRows sends rows up to the end of the result or the maximum. It reports whether
// it stopped at the maximum.
func (c *connection) sendRows(p *portal, maximum int) (bool, error) {
	p.rowsSent = 0
	for {
		if maximum > 0 && p.rowsSent == maximum {
			return true, nil
		}
		row, err := p.result.next()
		if err != nil {
			return false, err
		}
		if row == nil {
			return false, nil
		}
		if err := c.sendRow(p, row); err != nil {
			return false, err
		}
		p.rowsSent++
	}
}

func (c *connection) sendRow(p *portal, row []value) error {
	fields := make([][]byte, len(row))
	size := 0
	for i, v := range row {
		v, err := v.convert(p.prepared.columns[i].oid)
		if err != nil {
			return err
		}
		if fields[i], err = v.encode(p.format(i)); err != nil {
			return err
		}
		size += len(fields[i])
	}
	c.backend.Send(&pgproto3.DataRow{Values: fields})
	return c.sendIfLarge(size)
}

// deallocate removes a prepared statement, or all if the name is empty.
func (c *connection) deallocate(name string) error {
	if name == "" {
		clear(c.prepared)
		return nil
	}
	if _, err := c.statement(name); err != nil {
		return err
	}
	delete(c.prepared, name)
	return nil
}
