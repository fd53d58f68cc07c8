package front

import (
	"crypto/tls"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// identity is whom a session runs for. It does not change after startup.
type identity struct {
	key      proxy.KeyID // empty on open routes
	verifier string
	route    proxy.RouteID
}

// grant is what an identity may use according to one revision of the document.
type grant struct {
	revision proxy.Revision
	route    proxy.Route
	account  proxy.Account // zero on open routes
}

// identify determines the identity of a client and authenticates it. The route
// is examined after the key, so that route names are disclosed to nobody else.
func (s *Server) identify(conn net.Conn, backend *pgproto3.Backend, startup *pgproto3.StartupMessage) (identity, error) {
	document, _ := s.Catalog.Current()
	if document == nil {
		return identity{}, proxy.Refuse(proxy.CannotConnectNow, "this host has no configuration document yet")
	}
	who := identity{route: proxy.RouteID(startup.Parameters["database"])}
	route, found := findRoute(document, who.route)
	open := found && route.Open
	_, secured := conn.(*tls.Conn)
	if s.TLS != nil && !secured && !(open && s.PlainOpen) {
		return identity{}, proxy.Refuse(proxy.InvalidAuthorization, "this server requires TLS")
	}
	if open {
		return who, nil
	}
	who.key = proxy.KeyID(startup.Parameters["user"])
	_, key, known := findKey(document, who.key)
	who.verifier = key.Verifier
	if err := s.authenticate(backend, document, who, known); err != nil {
		return identity{}, err
	}
	return who, nil
}

// permit returns what the identity may use under a document, or the refusal
// that ends its session.
func permit(document *proxy.Document, revision proxy.Revision, who identity) (grant, *proxy.Refusal) {
	if document == nil {
		return grant{}, proxy.Refuse(proxy.CannotConnectNow, "this host has no configuration document")
	}
	g := grant{revision: revision}
	if who.key != "" {
		account, key, ok := findKey(document, who.key)
		if !ok || key.Verifier != who.verifier {
			return grant{}, proxy.Refuse(proxy.InvalidAuthorization, "account key %q is withdrawn", string(who.key))
		}
		g.account = account
	}
	route, ok := findRoute(document, who.route)
	if !ok {
		return grant{}, proxy.Refuse(proxy.InvalidCatalogName, "route %q does not exist", string(who.route))
	}
	if !route.Open && !admits(route, g.account.ID) {
		return grant{}, proxy.Refuse(proxy.InvalidAuthorization,
			"account %q is not admitted to route %q", string(g.account.ID), string(route.ID))
	}
	g.route = route
	return g, nil
}

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
