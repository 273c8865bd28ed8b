/** Builds bundles of the gateway from the sources of this checkout or of an earlier commit. */
import { execFile } from "node:child_process";
import { mkdtemp, rm, symlink } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { promisify } from "node:util";
import { build } from "esbuild";

const run = promisify(execFile);

/** A bundle of the gateway in a temporary folder. */
export class GatewayBuild {
  /** Path of the bundled script. */
  readonly script: string;
  readonly #folder: string;

  private constructor(folder: string) {
    this.#folder = folder;
    this.script = join(folder, "gateway.cjs");
  }

  /** Whether the git history of this checkout contains a commit. */
  static async isCommitAvailable(commit: string): Promise<boolean> {
    return run("git", ["cat-file", "-e", `${commit}^{commit}`]).then(
      () => true,
      () => false,
    );
  }

  /** Builds the sources of this checkout. */
  static async ofCheckout(): Promise<GatewayBuild> {
    const made = await GatewayBuild.#create();
    await made.#bundle(resolve("."));
    return made;
  }

  /** Builds the sources of a commit. */
  static async ofCommit(commit: string): Promise<GatewayBuild> {
    const made = await GatewayBuild.#create();
    const tree = join(made.#folder, "tree");
    await run("git", ["worktree", "add", "--detach", tree, commit]);
    try {
      await symlink(resolve("node_modules"), join(tree, "node_modules"));
      await made.#bundle(tree);
    } finally {
      await run("git", ["worktree", "remove", "--force", tree]);
    }
    return made;
  }

  /** Deletes the bundle and its folder. */
  async remove(): Promise<void> {
    await rm(this.#folder, { recursive: true, force: true });
  }

  static async #create(): Promise<GatewayBuild> {
    return new GatewayBuild(await mkdtemp(join(tmpdir(), "tulipwheel-build-")));
  }

  async #bundle(root: string): Promise<void> {
    await build({
      entryPoints: [join(root, "platform/main.ts")],
      outfile: this.script,
      bundle: true,
      platform: "node",
      format: "cjs",
      target: "node20",
      // The optional native addon of cbor-x, which works without it.
      external: ["cbor-extract"],
      logLevel: "error",
    });
  }
}
