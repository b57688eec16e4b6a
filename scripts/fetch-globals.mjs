// Runs first in the bundle. The HTTP adapter reads these globals when it is loaded, and Node.js would then load its own
// copy of undici with the HTTP/2 and TLS modules, which takes a seventh of a start. These are the same classes of undici.
import { Headers } from "undici/lib/web/fetch/headers.js";
import { Request } from "undici/lib/web/fetch/request.js";
import { Response } from "undici/lib/web/fetch/response.js";

for (const [name, value] of Object.entries({ Headers, Request, Response })) {
    Object.defineProperty(globalThis, name, { value, writable: true, configurable: true, enumerable: false });
}
