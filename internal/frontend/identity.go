package frontend

import (
	"crypto/tls"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// clientIdentity identifies the account key and the route of a session. It does not
// change after startup.
type clientIdentity struct {
	key      proxy.KeyID // empty on open routes
	verifier string
	route    proxy.RouteID
}

// grant is the route and the account that a client identity may use according to one
// revision of the document.
type grant struct {
	revision proxy.Revision
	route    proxy.Route
	account  proxy.Account // zero on open routes
}

// identify determines the identity of a client and authenticates it. Whether the
// route exists is checked only after the key, so that route names are not disclosed
// to clients without a valid key.
func (s *Server) identify(conn net.Conn, backend *startupBackend, startup *pgproto3.StartupMessage) (clientIdentity, error) {
	document, _ := s.Catalog.Current()
	if document == nil {
		return clientIdentity{}, proxy.Refuse(proxy.CannotConnectNow, "this host has no configuration document yet")
	}
	client := clientIdentity{route: proxy.RouteID(startup.Parameters["database"])}
	route, found := findRoute(document, client.route)
	open := found && route.Open
	_, encrypted := conn.(*tls.Conn)
	if s.TLS != nil && !encrypted && !(open && s.AllowPlaintextOnOpenRoutes) {
		return clientIdentity{}, proxy.Refuse(proxy.InvalidAuthorization, "this server requires TLS")
	}
	if open {
		return client, nil
	}
	client.key = proxy.KeyID(startup.Parameters["user"])
	_, key, known := findKey(document, client.key)
	client.verifier = key.Verifier
	if err := s.authenticate(backend, document, client, known); err != nil {
		return clientIdentity{}, err
	}
	return client, nil
}

// grantFor returns the grant of a client identity under a document, or the refusal
// that ends its session.
func grantFor(document *proxy.Document, revision proxy.Revision, client clientIdentity) (grant, *proxy.Refusal) {
	if document == nil {
		return grant{}, proxy.Refuse(proxy.CannotConnectNow, "this host has no configuration document")
	}
	g := grant{revision: revision}
	if client.key != "" {
		account, key, ok := findKey(document, client.key)
		if !ok || key.Verifier != client.verifier {
			return grant{}, proxy.Refuse(proxy.InvalidAuthorization, "account key %q is withdrawn", string(client.key))
		}
		g.account = account
	}
	route, ok := findRoute(document, client.route)
	if !ok {
		return grant{}, proxy.Refuse(proxy.InvalidCatalogName, "route %q does not exist", string(client.route))
	}
	if !route.Open && !admits(route, g.account.ID) {
		return grant{}, proxy.Refuse(proxy.InvalidAuthorization,
			"account %q is not admitted to route %q", string(g.account.ID), string(route.ID))
	}
	g.route = route
	return g, nil
}

// admits reports whether a route that is not open admits an account. A route without
// a list admits every account.
func admits(route proxy.Route, account proxy.AccountID) bool {
	if account == "" {
		return false
	}
	for _, admitted := range route.Accounts {
		if admitted == account {
			return true
		}
	}
	return len(route.Accounts) == 0
}

func findRoute(document *proxy.Document, id proxy.RouteID) (proxy.Route, bool) {
	for _, route := range document.Routes {
		if route.ID == id {
			return route, true
		}
	}
	return proxy.Route{}, false
}

// findKey finds a key that is not withdrawn.
func findKey(document *proxy.Document, id proxy.KeyID) (proxy.Account, proxy.AccountKey, bool) {
	for _, account := range document.Accounts {
		for _, key := range account.Keys {
			if key.ID == id && !key.Withdrawn {
				return account, key, true
			}
		}
	}
	return proxy.Account{}, proxy.AccountKey{}, false
}
