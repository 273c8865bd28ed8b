/** Writes the JSON Schema of a gateway's settings to standard output, without descriptions. */
import * as z from "zod";
import { gatewaySettingsSchema } from "../../src/gateway/gateway-settings.ts";

const schema = z.toJSONSchema(gatewaySettingsSchema, {
  io: "input",
  override: ({ jsonSchema }) => {
    delete jsonSchema.description;
  },
});
process.stdout.write(JSON.stringify(schema));
