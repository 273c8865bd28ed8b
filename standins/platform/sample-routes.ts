/** Host and paths of the routes of the sample configuration. */
export const SAMPLE_ROUTES = { host: "sample.example", turnPath: "/turn/", callPath: "/call/" } as const;
