import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptId, IdempotencyKey, InstanceId, OrganisationId } from "../types.js";
import { ClaimTable } from "./claim-table.js";
import { holderSeats } from "./holder-seats.js";
import type { ReplicatedClaim } from "./messages.js";
import { ClaimsSimulation } from "./testing/claims-simulation.js";

const keyAt = (timeMs: number, counter = 0): IdempotencyKey => {
    const time = timeMs.toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${counter.toString(16).padStart(12, "0")}` as IdempotencyKey;
};

const createClaim = (
    organisation: string,
    key: IdempotencyKey,
    attempt: string,
    more: Partial<ReplicatedClaim> = {},
) => ({
    organisation: organisation as OrganisationId,
    key,
    attempt: attempt as AttemptId,
    owner: "i1" as InstanceId,
    fingerprint: "f",
    state: "recorded" as const,
    seats: "s1 s2",
    view: [],
    ...more,
});

const baseMs = Date.UTC(2026, 0, 1);

// Guards against unbounded memory, and against an organisation whose load evicts the claims of another.
test("a full table evicts the oldest claims of the largest organisation", () => {
    const table = new ClaimTable({ maxClaims: 100, maxResponseBytes: 1_000 });
    const small = createClaim("small", keyAt(baseMs), "a0");
    table.grant(small, "s1 s2");
    for (let index = 1; index <= 500; index++) {
        table.grant(createClaim("large", keyAt(baseMs + index, index), `a${index}`), "s1 s2");
    }
    assert.ok(table.size <= 100);
    assert.is(table.get(small.organisation, small.key)?.state, "recorded");
    assert.ok(table.isRetained(small.organisation, baseMs));
    assert.not(table.isRetained("large" as OrganisationId, baseMs + 300));
    assert.ok(table.isRetained("large" as OrganisationId, baseMs + 500));
    // Other holders must not rely on this one for evicted claims.
    assert.ok(table.evictedThroughMs > baseMs + 300);
});

// Guards against responses that exceed the memory limit, and against the loss of a claim with its response.
test("responses are evicted before claims", () => {
    const table = new ClaimTable({ maxClaims: 100, maxResponseBytes: 1_000 });
    for (let index = 0; index < 20; index++) {
        const answer = { status: 200, headers: [], body: new Uint8Array(100) };
        table.resolve({ ...createClaim("org", keyAt(baseMs, index), `a${index}`), state: "complete", answer }, "s1 s2");
    }
    assert.is(table.responseBytes, 1_000);
    assert.is(table.size, 20);
    const first = table.get("org" as OrganisationId, keyAt(baseMs, 0));
    assert.is(first?.state, "complete");
    assert.is(first?.answer, undefined);
});

// Guards against treating keys of removed claims as new.
test("expired claims do not count as retained", () => {
    const table = new ClaimTable({ maxClaims: 100, maxResponseBytes: 1_000 });
    table.grant(createClaim("org", keyAt(baseMs), "a"), "s1 s2");
    table.grant(createClaim("org", keyAt(baseMs + 2), "b"), "s1 s2");
    table.expire(baseMs + 1);
    assert.is(table.size, 1);
    assert.not(table.isRetained("org" as OrganisationId, baseMs + 1));
    assert.ok(table.isRetained("org" as OrganisationId, baseMs + 2));
});

// Guards against a copied claim that counts as a record, and against a release that frees the key of another attempt.
test("copies of claims", () => {
    const organisation = "org" as OrganisationId;
    const key = keyAt(baseMs);
    const [first, second] = [createClaim("org", key, "a"), createClaim("org", key, "b")];
    const answer = { status: 200, headers: [], body: new Uint8Array(1) };
    type Step = (table: ClaimTable) => void;
    const cases: readonly (readonly [string, readonly Step[], string, boolean])[] = [
        ["copy", [t => t.merge(first)], "recorded", false],
        [
            "copy after its release",
            [t => t.release(organisation, key, first.attempt), t => t.merge(first)],
            "released",
            false,
        ],
        ["own record stays", [t => t.grant(second, ""), t => t.merge(first)], "recorded", true],
        ["two copies differ", [t => t.merge(first), t => t.merge(second)], "unknown", false],
        [
            "two copies, one released",
            [t => t.merge(first), t => t.merge(second), t => t.release(organisation, key, second.attempt)],
            "unknown",
            false,
        ],
        [
            "a run wins",
            [t => t.merge(first), t => t.merge({ ...second, state: "complete", answer })],
            "complete",
            false,
        ],
        [
            "a run stays",
            [
                t => t.resolve({ ...first, state: "complete", answer }, ""),
                t => t.release(organisation, key, first.attempt),
            ],
            "complete",
            false,
        ],
    ];
    for (const [name, steps, state, isGranted] of cases) {
        const table = new ClaimTable({ maxClaims: 10, maxResponseBytes: 1_000 });
        steps.forEach(step => step(table));
        assert.is(table.get(organisation, key)?.state, state, name);
        assert.is(table.get(organisation, key)?.isGranted, isGranted, name);
    }
});

// Guards against pages that exceed a peer frame or skip claims.
test("pages are bounded and complete", () => {
    const table = new ClaimTable({ maxClaims: 1_000, maxResponseBytes: 1_000_000 });
    for (let index = 0; index < 200; index++) {
        const answer = { status: 200, headers: [], body: new Uint8Array(index) };
        table.resolve({ ...createClaim("org", keyAt(baseMs, index), `a${index}`), state: "complete", answer }, "s1");
    }
    const seen = new Set<string>();
    for (let after: number | undefined = 0; after !== undefined;) {
        const page: ReturnType<ClaimTable["page"]> = table.page(after, () => true, 30, 2_000);
        assert.ok(page.claims.length <= 30);
        assert.ok(page.claims.reduce((sum, kept) => sum + kept.answer!.body.length, 0) <= 2_200);
        page.claims.forEach(kept => seen.add(kept.key));
        after = page.next;
    }
    assert.is(seen.size, 200);
});

// Guards against a record that was sent before a seat change and arrives after the new holder has synchronised.
test("a synchronisation fences records of an older view", async () => {
    const simulation = new ClaimsSimulation({ seats: 6, zones: 3, seed: 1 });
    await simulation.clock.advance(15_000);
    const key = simulation.key();
    const { organisation, attempt } = simulation.request(true);
    const [lost, kept] = holderSeats(simulation.roster, organisation, key);
    const holder = simulation.at(kept!.holder!).claims!.holder;
    const view = holderSeats(simulation.roster, organisation, key).map(({ id: seat, epoch }) => ({ seat, epoch }));
    const body = { organisation, key, attempt, owner: "i1" as InstanceId, fingerprint: "f", view };
    const reply = holder.sync({ seat: lost!.id, epoch: 2, layout: holder.completeness.layout, after: 0 });
    assert.ok(reply.page !== undefined);
    assert.equal(holder.record(body), { kind: "refused", reason: "view" });
    const newer = view.map(entry => entry.seat === lost!.id ? { ...entry, epoch: 2 } : entry);
    assert.equal(holder.record({ ...body, view: newer }), { kind: "recorded" });
});

// Guards against two runs when an entry instance that missed a seat change claims at the former holders, at any time
// around the change, and a retry goes to the new ones.
test("views that differ between instances", async () => {
    let ran = 0;
    let refused = 0;
    // Keys from before the change need synchronisation; for keys ahead of it, the key time is enough.
    for (const [zone, aheadMs] of [[undefined, -1_000], [undefined, 4_000], ["z0", 4_000], ["z2", 4_000]] as const) {
        for (let atMs = 0; atMs <= 12_000; atMs += 800) {
            const simulation = new ClaimsSimulation({ seats: 6, zones: 3, seed: atMs });
            await simulation.clock.advance(30_000);
            const key = keyAt(simulation.clock.now().getTime() + aheadMs);
            const seats = holderSeats(simulation.roster, simulation.request(true).organisation, key);
            const names = seats.map(seat => seat.holder!);
            const [old, other] = [...simulation.instances.keys()].filter(name => !names.includes(name as InstanceId));
            // The entry instance and the former holder miss the change; the entry does not check that it is current.
            simulation.at(old!).isIsolated = true;
            simulation.at(names[0]!).isIsolated = true;
            void simulation.sleep(2_100).then(() => simulation.replace(seats[0]!.id, "new", zone));
            // One of the unchanged holders is unreachable for the first claim, which then needs the former holder.
            await simulation.clock.advance(atMs);
            simulation.network.dropMessages(old!, names[1]!);
            const first = simulation.at(old!).gate.begin(simulation.request(false), key);
            await simulation.clock.advance(1_000);
            simulation.network.heal();
            simulation.network.dropMessages(other!, names[2]!);
            const second = simulation.at(other!).gate.begin(simulation.request(false), key);
            await simulation.clock.advance(12_000);
            const kinds = [(await first).kind, (await second).kind];
            assert.ok(kinds.filter(kind => kind === "run").length <= 1, `${atMs} ${zone}: ${kinds.join()}`);
            ran += kinds[0] === "run" ? 1 : 0;
            refused += kinds[0] === "unavailable" ? 1 : 0;
        }
    }
    assert.ok(ran > 0 && refused > 0, "the sweep must cover both sides of the change");
});

// Guards against a former holder that still records claims after it has lost contact with the platform and the quorum.
test("a holder that is not current refuses", async () => {
    const simulation = new ClaimsSimulation({ seats: 3, zones: 3, seed: 1 });
    await simulation.clock.advance(15_000);
    const view = simulation.roster.seats.map(({ id: seat, epoch }) => ({ seat, epoch }));
    const { organisation, attempt } = simulation.request(true);
    const body = { organisation, key: simulation.key(), attempt, owner: "i1" as InstanceId, fingerprint: "f", view };
    simulation.at("i0").isIsolated = true;
    await simulation.clock.advance(4_000);
    assert.equal(simulation.at("i0").claims!.holder.record(body), { kind: "refused", reason: "not-acting" });
});

// Guards against a successor whose records count as complete for more keys than those of the leaving holder.
test("a successor inherits no more than the leaving holder had", async () => {
    for (const [waitMs, kind] of [[1_000, "unvouched"], [15_000, "recorded"]] as const) {
        const simulation = new ClaimsSimulation({ seats: 3, zones: 3, seed: 1 });
        await simulation.clock.advance(waitMs);
        const key = simulation.key();
        const next = simulation.start("next");
        void simulation.at("i0").claims!.handOver(next.name);
        await simulation.clock.advance(100);
        simulation.changeSeat("s0", { holder: next.name, epoch: 2 });
        await simulation.clock.advance(1_000);
        const view = simulation.roster.seats.map(({ id: seat, epoch }) => ({ seat, epoch }));
        const { organisation, attempt } = simulation.request(true);
        const body = { organisation, key, attempt, owner: "i1" as InstanceId, fingerprint: "f", view };
        assert.is(next.claims!.holder.record(body).kind, kind);
    }
});

// Guards against a holder that relies on the wrong clock of an entry instance.
test("holders check the time of keys themselves", async () => {
    const simulation = new ClaimsSimulation({ seats: 3, zones: 3, seed: 1 });
    await simulation.clock.advance(15_000);
    const nowMs = simulation.clock.now().getTime();
    const view = simulation.roster.seats.map(({ id: seat, epoch }) => ({ seat, epoch }));
    for (
        const [shiftMs, kind] of [[6_001, "refused"], [6_000, "recorded"], [-15 * 60_000 - 1_001, "refused"]] as const
    ) {
        const { organisation, attempt } = simulation.request(true);
        const body = { organisation, key: keyAt(nowMs + shiftMs), attempt, fingerprint: "f", view };
        assert.is(simulation.at("i0").claims!.holder.record({ ...body, owner: "i1" as InstanceId }).kind, kind);
    }
});

test.run();
