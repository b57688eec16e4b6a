/** Parses the paths of routes and requests into segments. */

/** Maximum number of path segments. Limits the depth of the route tree and the cost of a malicious request path. */
export const maxPathSegments = 64;

/**
 * Segments of a route's path without parameter names. Two routes with the same pattern match the same requests.
 *
 * @example
 * routePattern("/pets/:pet/owners/*"); // ["pets", ":", "owners", "*"]
 */
export const routePattern = (path: string): readonly string[] =>
    path.slice(1).split("/").map(segment => segment.startsWith(":") ? ":" : segment);

/** Returns the problem of a route's path; undefined if it is valid. */
export const routePathProblem = (path: string): { readonly problem: string; readonly remedy: string; } | undefined => {
    const segments = path.slice(1).split("/");
    if (segments.length > maxPathSegments) {
        return { problem: "the path is too deep", remedy: `use at most ${maxPathSegments} segments` };
    }
    if (!/^[\x21-\x7e]*$/.test(path) || /[?#\\%]/.test(path)) {
        return {
            problem: "the path contains a character that a route cannot match",
            remedy: "use visible ASCII without ? # % and backslash; matching decodes the request's segments",
        };
    }
    if (segments.slice(0, -1).includes("") || segments.some(segment => segment === "." || segment === "..")) {
        return { problem: "the path has an empty or dot segment", remedy: "write each segment by its name" };
    }
    if (segments.includes(":")) {
        return { problem: "a parameter has no name", remedy: 'write it as ":name"' };
    }
    if (segments.some((segment, index) => segment.includes("*") && (segment !== "*" || index < segments.length - 1))) {
        return { problem: '"*" is not the whole last segment', remedy: "use it as the whole last segment" };
    }
    return undefined;
};

/**
 * Returns the decoded segments of a request's path, or undefined if the path is ambiguous. Dot segments, empty segments
 * and encoded slashes are ambiguous: an upstream that resolves them may serve another route than the one that was
 * matched.
 */
export const requestSegments = (target: string): readonly string[] | undefined => {
    const end = target.search(/[?#]/);
    const path = end < 0 ? target : target.slice(0, end);
    if (!path.startsWith("/") || path.includes("\\")) {
        return undefined;
    }
    const segments = path.slice(1).split("/");
    if (segments.length > maxPathSegments) {
        return undefined;
    }
    if (path.includes("%") && !decodeInPlace(segments)) {
        return undefined;
    }
    for (let index = 0; index < segments.length; index++) {
        const segment = segments[index];
        if (segment === "." || segment === ".." || (segment === "" && index < segments.length - 1)) {
            return undefined;
        }
    }
    return segments;
};

const decodeInPlace = (segments: string[]): boolean => {
    for (let index = 0; index < segments.length; index++) {
        try {
            segments[index] = decodeURIComponent(segments[index]!);
        }
        catch {
            return false;
        }
        if (/[/\\\0]/.test(segments[index]!)) {
            return false;
        }
    }
    return true;
};
