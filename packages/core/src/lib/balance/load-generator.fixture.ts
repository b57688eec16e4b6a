/** Generates load through the choosers of a test fleet, with the retries of the pipeline. */
import { TestFleet, type TestFleetOptions, testRoutes, testService, testTimeoutMs } from "../health/test-fleet.js";
import type { RoutedRequest } from "../stages.js";
import { id, type OrganisationId, type RouteId, type Upstream } from "../types.js";
import { FairUpstreamChooser } from "./fair-upstream-chooser.js";
import type { BalanceSettings } from "./settings.js";

/** Results of the requests of one organisation. */
export interface RequestCounts {
    sent: number;
    served: number;
    readonly latenciesMs: number[];
}

export class LoadGenerator {
    readonly fleet: TestFleet;
    readonly choosers: readonly FairUpstreamChooser[];
    readonly countsByOrganisation = new Map<string, RequestCounts>();
    dispatched = 0;
    shed = 0;
    readonly refusals = new Map<string, number>();
    #requestNumber = 0;

    constructor(options: TestFleetOptions, settings: Partial<BalanceSettings> = {}) {
        this.fleet = new TestFleet(options);
        this.choosers = this.fleet.contexts.map((context, index) =>
            new FairUpstreamChooser({
                context,
                health: this.fleet.healths[index]!,
                upstreams: () => this.fleet.listing,
                settings,
            })
        );
    }

    /** Sends an organisation's requests to random instances, among the first `instances`, for a time. */
    offer(organisation: string, ratePerSecond: number, durationMs: number, instances = this.choosers.length): void {
        const { clock, random } = this.fleet;
        const endMs = clock.monotonicMs() + durationMs;
        const next = () => {
            clock.after(Math.round(-Math.log(1 - random()) * 1_000 / ratePerSecond), () => {
                if (clock.monotonicMs() < endMs) {
                    void this.send(Math.floor(random() * instances), organisation);
                    next();
                }
            });
        };
        next();
    }

    request(
        organisation: string,
        deadlineMs = 1_000,
        signal: AbortSignal = new AbortController().signal,
    ): RoutedRequest {
        const route = testRoutes[Math.floor(this.fleet.random() * testRoutes.length)]!;
        const name = `q${++this.#requestNumber}`;
        return {
            id: id(name),
            attempt: id(name),
            organisation: id<OrganisationId>(organisation),
            key: id("k"),
            route: {
                id: id<RouteId>(route),
                method: "GET",
                path: "/",
                service: testService,
                idempotent: true,
                timeoutMs: testTimeoutMs,
            },
            method: "GET",
            target: "/",
            body: new Uint8Array(),
            bodyHash: "",
            deadlineMs: this.fleet.clock.monotonicMs() + deadlineMs,
            isFirstAttempt: true,
            signal,
        };
    }

    async send(instance: number, organisation: string): Promise<void> {
        const { clock } = this.fleet;
        const counts = this.countsByOrganisation.get(organisation) ?? { sent: 0, served: 0, latenciesMs: [] };
        this.countsByOrganisation.set(organisation, counts);
        counts.sent++;
        const startMs = clock.monotonicMs();
        const request = this.request(organisation);
        const tried: Upstream[] = [];
        const chooser = this.choosers[instance]!;
        for (;;) {
            const decision = await chooser.acquire(request, tried);
            if (decision.kind === "refused") {
                this.refusals.set(decision.reason, (this.refusals.get(decision.reason) ?? 0) + 1);
                return;
            }
            const { lease } = decision;
            this.dispatched++;
            const sentMs = clock.monotonicMs();
            const result = await this.fleet.send(instance, lease.upstream, request.route.id);
            lease.release(result, clock.monotonicMs() - sentMs);
            if (result.kind === "answer") {
                counts.served++;
                counts.latenciesMs.push(clock.monotonicMs() - startMs);
                return;
            }
            this.shed += result.kind === "shed" ? 1 : 0;
            tried.push(lease.upstream);
            if (!chooser.tryAcquireRetry(request)) {
                this.refusals.set("no-retry", (this.refusals.get("no-retry") ?? 0) + 1);
                return;
            }
        }
    }

    /** Nearest-rank percentile over all organisations. */
    percentileMs(share: number): number {
        const all = [...this.countsByOrganisation.values()].flatMap(({ latenciesMs }) => latenciesMs)
            .sort((left, right) => left - right);
        return all[Math.ceil(all.length * share) - 1] ?? NaN;
    }

    total(field: "sent" | "served"): number {
        return [...this.countsByOrganisation.values()].reduce((sum, counts) => sum + counts[field], 0);
    }
}
