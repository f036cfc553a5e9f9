package stagepier.lab.capacity;

/** How a figure may grow with the number of routers N: a sum of terms, each with a coefficient that is to be fitted. */
public enum GrowthModel {
    /** Does not grow: what the three others are compared with. */
    CONSTANT(""),
    LINEAR("N") {
        @Override
        double[] terms(double routers) {
            return new double[] {1, routers};
        }
    },
    LOGARITHMIC("ln N") {
        @Override
        double[] terms(double routers) {
            return new double[] {1, Math.log(routers)};
        }
    },
    QUADRATIC("N", "N^2") {
        @Override
        double[] terms(double routers) {
            return new double[] {1, routers, routers * routers};
        }
    };

    private final String[] termNames;

    GrowthModel(String... termNames) {
        this.termNames = termNames;
    }

    /** The terms' values at a size, the constant one first. */
    double[] terms(double routers) {
        return new double[] {1};
    }

    /** Coefficients, the constant one among them. */
    public int coefficients() {
        return terms(1).length;
    }

    /** Name of a term that is not the constant one, counted from 1. */
    String termName(int term) {
        return termNames[term - 1];
    }

    /** The name in words, for tables. */
    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
