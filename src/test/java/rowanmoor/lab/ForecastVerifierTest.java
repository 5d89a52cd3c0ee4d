package rowanmoor.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import rowanmoor.plan.Finding;
import rowanmoor.plan.Trial;

/** Guards the field names of forecasts.json and verified.json, which differ from the names in the code. */
class ForecastVerifierTest {

    @Test
    void writtenFindingsAndVerdictsKeepTheirFieldNames() throws IOException {
        Finding finding = new Finding(Finding.Resource.CORES, "north", 0.5, "busy 50%");
        assertEquals("{\"resource\":\"CORES\",\"place\":\"north\",\"pressure\":0.5,\"evidence\":\"busy 50%\"}",
                ForecastVerifier.JSON.writeValueAsString(finding));
        assertEquals("{\"rate\":100.0,\"off\":0.1,\"rateRight\":true,\"seen\":null,\"failureRight\":false}",
                ForecastVerifier.JSON.writeValueAsString(new Trial.Verdict(100, 0.1, true, null, false)));
    }
}
