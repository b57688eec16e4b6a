import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RouteConfig } from "../config.js";
import type { OrganisationId, RouteId, ServiceId } from "../types.js";
import { RouteTable } from "./route-table.js";

const route = (method: RouteConfig["method"], path: string, organisations?: string[]): RouteConfig => ({
    id: `${method} ${path}` as RouteId,
    method,
    path,
    service: "sightings" as ServiceId,
    idempotent: true,
    timeoutMs: 1000,
    organisations: organisations as OrganisationId[] | undefined,
});

const table = new RouteTable([
    route("GET", "/"),
    route("GET", "/pets/:pet"),
    route("GET", "/pets/lost"),
    route("GET", "/pets/lost/near/:place"),
    route("GET", "/pets/:pet/owners"),
    route("GET", "/pets/*"),
    route("POST", "/pets/:pet/reports", ["paws"]),
]);

const cases: readonly (readonly [method: string, target: string, expected: string])[] = [
    ["GET", "/", "GET /"],
    ["GET", "/?x=1", "GET /"],
    ["GET", "/pets/17", "GET /pets/:pet"],
    ["GET", "/pets/17?full=1", "GET /pets/:pet"],
    ["GET", "/pets/lost", "GET /pets/lost"],
    ["GET", "/pets/%6Cost", "GET /pets/lost"],
    ["GET", "/pets/lost/owners", "GET /pets/:pet/owners"],
    ["GET", "/pets/lost/near/bergen", "GET /pets/lost/near/:place"],
    ["GET", "/pets/17/toys/ball", "GET /pets/*"],
    ["GET", "/pets/", "GET /pets/*"],
    ["GET", "/pets", "not-found"],
    ["GET", "/constructor", "not-found"],
    ["POST", "/pets/17/reports", "POST /pets/:pet/reports"],
    ["POST", "/pets/17", "method-not-allowed GET"],
    ["PURGE", "/pets/17/reports", "method-not-allowed GET,POST"],
    ["GET", "/pets//owners", "bad-target"],
    ["GET", "/pets/../admin", "bad-target"],
    ["GET", "/pets/%2e%2e/admin", "bad-target"],
    ["GET", "/pets/a%2fowners", "bad-target"],
    ["GET", "/pets/%zz", "bad-target"],
    ["GET", "/pets\\lost", "bad-target"],
    ["GET", "http://other/pets/17", "bad-target"],
    ["GET", "", "bad-target"],
    ["GET", "/a".repeat(65), "bad-target"],
];

// Guards against a request that matches a less specific route, or a route that the upstream would resolve differently.
test("the most specific route matches and ambiguous targets are rejected", () => {
    for (const [method, target, expected] of cases) {
        const match = table.match(method, target);
        const seen = match.kind === "route"
            ? match.route.id
            : match.kind === "method-not-allowed"
            ? `${match.kind} ${match.allowed}`
            : match.kind;
        assert.is(seen, expected, `${method} ${target}`);
    }
});

// Guards against a route that is open to organisations that it does not name.
test("a route with organisations allows only these", () => {
    const match = table.match("POST", "/pets/17/reports");
    assert.is(match.kind, "route");
    const found = (match as { route: RouteConfig; }).route;
    assert.ok(table.mayUse(found, "paws" as OrganisationId));
    assert.not(table.mayUse(found, "tango" as OrganisationId));
});

// Guards against a large table in which a request matches no route or the wrong one. The number is the projected size.
test("each of 17,000 routes is found", () => {
    const routes = Array.from({ length: 17_000 }, (_, index) => route("GET", `/s${index % 1100}/v${index}/:item/view`));
    const large = new RouteTable(routes);
    routes.forEach((wanted, index) => {
        const match = large.match("GET", `/s${index % 1100}/v${index}/7/view`);
        assert.is((match as { route: RouteConfig; }).route, wanted);
    });
});

test.run();
