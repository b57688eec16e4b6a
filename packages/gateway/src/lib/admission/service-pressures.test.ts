import { id } from "@sniperoad/core";
import type { OrganisationId, RouteId, ServiceId } from "@sniperoad/core";
import { MemoryLog, VirtualClock } from "@sniperoad/core/testing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OverloadLog } from "./overload-log.js";
import { ServicePressures } from "./service-pressures.js";

const [service, route] = [id<ServiceId>("reports"), id<RouteId>("r1")];

/** Reviews a service of 100 slots with a load for some seconds; each request takes 200 ms. */
const reviewed = async (
    inFlight: number,
    { fleetSize = { live: 44, known: 44 }, completes = true, waitShare = 0.15 } = {},
) => {
    const clock = new VirtualClock();
    const busy = Math.min(100, inFlight);
    const pressures = new ServicePressures({
        clock,
        loadOf: () => ({ inFlight, slots: 100, busy }),
        reportAgeMs: () => 400,
        fleetSize: () => fleetSize,
        waitShare: () => waitShare,
        onReview: () => {},
    });
    pressures.recordRequest(service, route, 600);
    for (let tick = 0; tick < 60; tick++) {
        pressures.recordCompleted(service, completes ? busy / 2 : 0);
        pressures.review();
        await clock.advance(100);
    }
    return pressures.expected(service, route);
};

// Guards against shedding while a service has room, and against none while it has not.
test("the pressure is 0 with free slots, and rises with the wait", async () => {
    const [free, busy, full, worse] = [50, 100, 300, 500];
    const levels = await Promise.all([free, busy, full, worse].map(async count => (await reviewed(count)).level!));
    assert.equal(levels.slice(0, 2), [0, 0]);
    assert.ok(levels[2]! > 0 && levels[3]! >= levels[2]!, levels.join(" "));
});

test("the service time and the wait follow from requests in flight and completed", async () => {
    const { waitMs, workMs } = await reviewed(100);
    assert.ok(Math.abs(workMs! - 200) < 30, `${workMs} ms`);
    assert.ok(waitMs < 100, `${waitMs} ms`);
});

// Guards against an instance that hears few others and admits as if their requests did not exist.
test("an instance that hears less than half of the others scales what it hears", async () => {
    assert.is((await reviewed(100)).level, 0);
    assert.ok((await reviewed(100, { fleetSize: { live: 11, known: 44 } })).level! > 0);
});

// Guards against decisions from a service time that nobody has measured.
test("a service that completes nothing has no level", async () => {
    assert.is((await reviewed(300, { completes: false })).level, undefined);
});

// Guards against new decisions in deployments whose settings do not ask for them.
test("without a share of the objective nothing is estimated", async () => {
    assert.equal(await reviewed(500, { waitShare: 0 }), { level: undefined, waitMs: 0, workMs: undefined });
});

// Guards against lines at each review, and an overload that operators do not see the end of.
test("an overload is logged at its begin, every 2 s and at its end", async () => {
    const [clock, log] = [new VirtualClock(), new MemoryLog()];
    const overloads = new OverloadLog(clock, log);
    const shares = () => new Map([[id<OrganisationId>("org-1"), 0.42], [id<OrganisationId>("org-2"), 1]]);
    for (let tick = 0; tick < 80; tick++) {
        overloads.review(service, { level: tick < 50 ? 0.5 : 0, waitMs: 120, shares });
        await clock.advance(100);
    }
    const events = log.events.map(({ name }) => name);
    assert.equal(events, ["service-overload", "service-overload", "service-overload", "service-overload-end"]);
    assert.is(log.events[0]!.fields["organisations"], "org-1=0.42");
    assert.is(log.events[3]!.fields["lowestShare"], 0.61);
});

test.run();
